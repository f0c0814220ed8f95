package config

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/platform"
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

// parse decodes the text and runs the checks that need no time.
func parse(text []byte) (*Document, *decoder, error) {
	d := newDecoder(text)
	if len(text) > platform.MaxValueBytes {
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
