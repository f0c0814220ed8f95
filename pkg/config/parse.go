package config

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// Parse decodes and validates a document in JSON with comments. Its error is of
// kind Invalid and lists every problem. Expired exceptions are not an error here,
// since a stored document stays valid when they expire; see Check.
func Parse(text []byte) (*Document, error) {
	document, d, err := parse(text)
	if err != nil {
		return nil, err
	}
	if err := d.err(); err != nil {
		return nil, err
	}
	return document, nil
}

// Check is like Parse, but also rejects exceptions that have expired at the given
// time. It is meant for a document that is about to be applied.
func Check(text []byte, now time.Time) (*Document, error) {
	document, d, err := parse(text)
	if err != nil {
		return nil, err
	}
	d.checkExpired(document, now)
	if err := d.err(); err != nil {
		return nil, err
	}
	return document, nil
}

// ParsePolicy decodes a policy: a document with only defaults and exceptions,
// which operators keep next to a configuration that is published elsewhere. The
// names in its exceptions are not checked, since the published configuration
// defines them.
func ParsePolicy(text []byte) (*Document, error) {
	d := newDecoder(text)
	document := &Document{Defaults: BuiltinKnobs()}
	if err := d.Decode(document); err != nil {
		return nil, err
	}
	if len(document.Workspaces)+len(document.Models)+len(document.Services)+len(document.Routes) > 0 {
		d.AddProblem("", "a policy may contain only defaults and exceptions", "remove workspaces, models, services and routes")
	}
	d.checkExceptions(document, &nameIndex{})
	if err := d.err(); err != nil {
		return nil, err
	}
	return document, nil
}

// parse decodes the text and runs the checks that do not depend on the time.
func parse(text []byte) (*Document, *decoder, error) {
	d := newDecoder(text)
	if len(text) > external.MaxValueBytes {
		d.AddProblem("", "the text exceeds 1 MiB", "shorten it")
		return nil, nil, d.err()
	}
	document := &Document{Defaults: BuiltinKnobs()}
	if err := d.Decode(document); err != nil {
		return nil, nil, err
	}
	d.check(document)
	return document, d, nil
}
