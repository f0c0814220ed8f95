package config

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

// read returns the knob's value as written, or an error where its type or
// range is wrong.
func (k *Knob) read(literal hujson.Literal) (reflect.Value, error) {
	value := reflect.New(k.kind).Elem()
	if err := setScalar(value, literal); err != nil {
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
	return fmt.Sprintf("write %s from %s to %s (%s)", typeName(k.kind), orNone(k.Min), orNone(k.Max), k.Unit)
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

// typeName names a type as an operator knows it.
func typeName(kind reflect.Type) string {
	switch {
	case kind == reflect.TypeFor[Duration]():
		return `a duration with its unit in quotes, such as "250ms",`
	case kind == reflect.TypeFor[time.Time]():
		return `a time in quotes, such as "2027-01-31T12:00:00Z"`
	case kind.Kind() == reflect.Int64:
		return "a whole number"
	case kind.Kind() == reflect.Float64:
		return "a number"
	case kind.Kind() == reflect.Bool:
		return "true or false"
	case kind.Kind() == reflect.Slice:
		return "a list in square brackets"
	case kind.Kind() == reflect.Struct:
		return "an object in braces"
	default:
		return "text in quotes"
	}
}

// setScalar sets a field from a literal of the fitting type.
func setScalar(field reflect.Value, literal hujson.Literal) error {
	if !fits(field, literal.Kind()) {
		return errors.Errorf("%s is not %s", string(literal), typeName(field.Type()))
	}
	switch field.Interface().(type) {
	case Duration:
		d, err := time.ParseDuration(literal.String())
		field.SetInt(int64(d))
		return err
	case time.Time:
		at, err := time.Parse(time.RFC3339, literal.String())
		field.Set(reflect.ValueOf(at))
		return err
	}
	switch field.Kind() {
	case reflect.Int64:
		n, err := strconv.ParseInt(string(literal), 10, 64)
		field.SetInt(n)
		return err
	case reflect.Float64:
		x, err := strconv.ParseFloat(string(literal), 64)
		field.SetFloat(x)
		return err
	case reflect.Bool:
		field.SetBool(literal.Bool())
	default:
		field.SetString(strings.Clone(literal.String()))
	}
	return nil
}

// fits reports whether a field can be read from a literal of the kind.
func fits(field reflect.Value, kind hujson.Kind) bool {
	switch field.Interface().(type) {
	case Duration, time.Time:
		return kind == '"'
	}
	switch field.Kind() {
	case reflect.Int64, reflect.Float64:
		return kind == '0'
	case reflect.Bool:
		return kind == 't' || kind == 'f'
	case reflect.String:
		return kind == '"'
	default:
		return false
	}
}
