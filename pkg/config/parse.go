package config

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// Parse reads a document in JSON with comments and checks it whole. Its error
// is of kind Invalid and lists every problem. Whether exceptions have expired
// is left to Check, since a document in the store stays valid when they do.
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

// Check reads a document as Parse does and refuses exceptions that have
// expired at the given time. It is meant for a document that is about to be
// applied.
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

// ParsePolicy reads the part of a document that operators keep beside a
// configuration which is published elsewhere: the defaults and the exceptions.
// The names that exceptions bear are not checked, since the published part
// defines them.
func ParsePolicy(text []byte) (*Document, error) {
	d := newDecoder(text)
	document := &Document{Defaults: BuiltinKnobs()}
	if err := d.Decode(document); err != nil {
		return nil, err
	}
	if len(document.Workspaces)+len(document.Models)+len(document.Services)+len(document.Routes) > 0 {
		d.Problem("", "a policy holds defaults and exceptions alone", "remove workspaces, models, services and routes")
	}
	d.checkExceptions(document, &nameIndex{})
	if err := d.err(); err != nil {
		return nil, err
	}
	return document, nil
}

// parse decodes the text and runs the checks that need no time.
func parse(text []byte) (*Document, *decoder, error) {
	d := newDecoder(text)
	if len(text) > external.MaxValueBytes {
		d.Problem("", "the text is over one megabyte", "shorten it")
		return nil, nil, d.err()
	}
	document := &Document{Defaults: BuiltinKnobs()}
	if err := d.Decode(document); err != nil {
		return nil, nil, err
	}
	d.check(document)
	return document, d, nil
}
