package config

import (
	"reflect"
	"time"

	"github.com/tailscale/hujson"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/platform"
)

// maxDepth bounds how deep a document nests.
const maxDepth = 16

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
		d.problemAt(0, "", "the text is over one megabyte", "shorten it")
		return nil, nil, d.err()
	}
	if offset, deep := nestsTooDeep(text); deep {
		d.problemAt(offset, "", "the text nests too deep", "close the brackets before this line")
		return nil, nil, d.err()
	}
	value, err := hujson.Parse(text)
	if err != nil {
		return nil, nil, syntaxError(err)
	}
	document := &Document{Defaults: BuiltinKnobs()}
	d.value(&value, reflect.ValueOf(document).Elem(), "")
	d.check(document)
	return document, d, nil
}

// syntaxError wraps an error of the JSON parser, which names its line.
func syntaxError(err error) error {
	reason := "the configuration is not JSON with comments"
	return fault.Wrap(err, fault.Invalid, reason, "mend the line that the error names")
}

// err returns the problems as one error, or nil.
func (d *decoder) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	cause := &ProblemsError{Problems: d.sorted()}
	return fault.Wrap(cause, fault.Invalid, "the configuration is not valid", "mend the fields that are named")
}
