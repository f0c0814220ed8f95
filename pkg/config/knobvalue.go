package config

import (
	"fmt"
	"reflect"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"amaranthplank.example/amaranthplank/pkg/jsonc"
)

// parse returns the knob's value from a literal, or an error if its type or range
// is wrong.
func (k *Knob) parse(literal hujson.Literal) (reflect.Value, error) {
	value := reflect.New(k.fieldType).Elem()
	if err := jsonc.SetScalar(value, literal); err != nil {
		return value, err
	}
	return value, k.checkRange(value)
}

// checkRange returns an error if the value is outside the knob's range.
func (k *Knob) checkRange(value reflect.Value) error {
	if k.Min != "" && numericValue(value) < k.parseBound(k.Min) {
		return errors.Errorf("%s is below the minimum %s", formatScalar(value), k.Min)
	}
	if k.Max != "" && numericValue(value) > k.parseBound(k.Max) {
		return errors.Errorf("%s is above the maximum %s", formatScalar(value), k.Max)
	}
	return nil
}

// parseBound parses a min or max tag. It panics on a malformed tag, which is a
// programming error.
func (k *Knob) parseBound(tag string) float64 {
	if k.fieldType == reflect.TypeFor[Duration]() {
		d, err := time.ParseDuration(tag)
		if err != nil {
			panic("config: knob " + k.Path + " has a malformed range: " + err.Error())
		}
		return float64(d)
	}
	bound, err := strconv.ParseFloat(tag, 64)
	if err != nil {
		panic("config: knob " + k.Path + " has a malformed range: " + err.Error())
	}
	return bound
}

// remedy describes the values that the knob accepts.
func (k *Knob) remedy() string {
	return fmt.Sprintf("write %s; minimum %s, maximum %s (%s)", jsonc.TypeName(k.fieldType), boundOrNone(k.Min), boundOrNone(k.Max), k.Unit)
}

// boundOrNone returns the bound, or a text for a missing one.
func boundOrNone(bound string) string {
	if bound == "" {
		return "none"
	}
	return bound
}

// numericValue returns a scalar as a number for comparison with its range.
func numericValue(value reflect.Value) float64 {
	switch value.Kind() {
	case reflect.Int64:
		return float64(value.Int())
	case reflect.Float64:
		return value.Float()
	default:
		return 0
	}
}

// formatScalar formats a scalar as it is written in a document.
func formatScalar(value reflect.Value) string {
	if d, ok := reflect.TypeAssert[Duration](value); ok {
		return d.D().String()
	}
	return fmt.Sprint(value.Interface())
}
