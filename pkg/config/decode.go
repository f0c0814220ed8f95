package config

import (
	"reflect"
	"strings"

	"github.com/tailscale/hujson"

	"amaranthplank.example/amaranthplank/pkg/jsonc"
)

// decoder decodes a document and collects its problems.
type decoder struct {
	*jsonc.Decoder
}

// defaultsPrefix is the path prefix of the knobs' defaults in a document.
const defaultsPrefix = "defaults."

// newDecoder returns a decoder of the text.
func newDecoder(text []byte) *decoder { return &decoder{jsonc.NewDecoder(text, readKnob)} }

// readKnob is a jsonc.ScalarDecoder that reads the default of a knob and checks
// its range.
func readKnob(path string, literal hujson.Literal, into reflect.Value) (known bool, remedy string, problem error) {
	name, found := strings.CutPrefix(path, defaultsPrefix)
	knob := knobTable().byPath[name]
	if !found || knob == nil {
		return false, "", nil
	}
	value, err := knob.parse(literal)
	if err != nil {
		return true, knob.remedy(), err
	}
	into.Set(value)
	return true, "", nil
}

// err returns the problems as one error, or nil.
func (d *decoder) err() error { return d.Err("the configuration is not valid") }
