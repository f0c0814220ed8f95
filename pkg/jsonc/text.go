package jsonc

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

// Text is a parsed document that still knows its lines.
type Text struct {
	source []byte
	root   hujson.Value
	// plain has the layout of source with comments and trailing commas blanked
	// out, so that offsets are the same in both.
	plain []byte
}

// Parse reads the document's syntax. It fails with kind Invalid.
func Parse(source []byte) (*Text, error) {
	root, err := hujson.Parse(source)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the file is not JSON with comments", "mend the line that the error names")
	}
	standard := root.Clone()
	standard.Standardize()
	return &Text{source: source, root: root, plain: standard.Pack()}, nil
}

// Decode fills value, a pointer to a struct, and refuses fields that it does
// not have. It fails with every FieldError found, joined.
func (t *Text) Decode(value any) error {
	issues := t.unknownFields(t.root, reflect.TypeOf(value), "")
	if len(issues) > 0 {
		return Join(issues)
	}
	err := json.Unmarshal(t.plain, value)
	if err == nil {
		return nil
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return &FieldError{
			Line: t.lineAt(int(mismatch.Offset)), Field: mismatch.Field, Problem: "is a " + mismatch.Value,
			Remedy: "write a " + mismatch.Type.String(),
		}
	}
	return fault.Wrap(err, fault.Invalid, "a value can't be read", "correct the value that the error names")
}

// Line returns the line of the value at an RFC 6901 pointer such as
// "/listen/callers", or of the nearest value above it that exists.
func (t *Text) Line(pointer string) int {
	for {
		if found := t.root.Find(pointer); found != nil {
			return t.lineAt(found.StartOffset)
		}
		cut := strings.LastIndexByte(pointer, '/')
		if cut < 0 {
			return 1
		}
		pointer = pointer[:cut]
	}
}

// lineAt returns the line of a byte, counted from one.
func (t *Text) lineAt(offset int) int {
	offset = min(max(offset, 0), len(t.source))
	return bytes.Count(t.source[:offset], []byte("\n")) + 1
}
