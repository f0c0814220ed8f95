package config

import (
	"bytes"
	"encoding/json"

	"github.com/tailscale/hujson"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

// Parse reads a document in JSON with comments. Fields that are not known are
// refused.
func Parse(text []byte) (*Document, error) {
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the configuration is not JSON with comments", "mend the line that the error names")
	}
	document := &Document{Defaults: BuiltinKnobs()}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(document); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the configuration does not fit its schema", "compare the field with the operators' page")
	}
	return document, nil
}
