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

// read returns the knob's value as written, or an error where its type or
// range is wrong.
func (k *Knob) read(literal hujson.Literal) (reflect.Value, error) {
	value := reflect.New(k.kind).Elem()
	if err := jsonc.SetScalar(value, literal); err != nil {
		return value, err
	}
	return value, k.checkRange(value)
}

// checkRange fails where the value is outside of the knob's range.
func (k *Knob) checkRange(value reflect.Value) error {
	if k.Min != "" && amount(value) < k.bound(k.Min) {
		return errors.Errorf("%s is below the least value %s", text(value), k.Min)
	}
	if k.Max != "" && amount(value) > k.bound(k.Max) {
		return errors.Errorf("%s is above the greatest value %s", text(value), k.Max)
	}
	return nil
}

// bound reads a range tag. The tags are part of the program, so a malformed
// one is a defect.
func (k *Knob) bound(tag string) float64 {
	if k.kind == reflect.TypeFor[Duration]() {
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

// remedy says what the knob takes.
func (k *Knob) remedy() string {
	return fmt.Sprintf("write %s from %s to %s (%s)", jsonc.TypeName(k.kind), orNone(k.Min), orNone(k.Max), k.Unit)
}

// orNone names a missing bound.
func orNone(bound string) string {
	if bound == "" {
		return "no bound"
	}
	return bound
}

// amount returns a scalar as a number that its range is compared with.
func amount(value reflect.Value) float64 {
	switch value.Kind() {
	case reflect.Int64:
		return float64(value.Int())
	case reflect.Float64:
		return value.Float()
	default:
		return 0
	}
}

// text returns a scalar as an operator writes it.
func text(value reflect.Value) string {
	if d, ok := reflect.TypeAssert[Duration](value); ok {
		return d.D().String()
	}
	return fmt.Sprint(value.Interface())
}
