package jsonc

import (
	"encoding"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

// TypeDescriber is implemented by types that describe how their values are
// written, such as "a date in quotes".
type TypeDescriber interface {
	// JSONType describes how a value is written.
	JSONType() string
}

// isTextType reports whether values of a type are decoded from strings by
// UnmarshalText.
func isTextType(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

// TypeName describes how values of a type are written in a document.
func TypeName(t reflect.Type) string {
	if described, ok := reflect.TypeAssert[TypeDescriber](reflect.Zero(t)); ok {
		return described.JSONType()
	}
	switch {
	case t == reflect.TypeFor[time.Time]():
		return `a time in quotes, such as "2027-01-31T12:00:00Z"`
	case t.Kind() == reflect.Int64, t.Kind() == reflect.Int:
		return "a whole number"
	case t.Kind() == reflect.Float64:
		return "a number"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Slice:
		return "a list in square brackets"
	case t.Kind() == reflect.Struct:
		return "an object in braces"
	default:
		return "text in quotes"
	}
}

// SetScalar sets a field from a literal. It returns an error if the literal's type
// does not match.
func SetScalar(field reflect.Value, literal hujson.Literal) error {
	if !accepts(field, literal.Kind()) {
		return errors.Errorf("%s is not %s", string(literal), TypeName(field.Type()))
	}
	if reader, ok := reflect.TypeAssert[encoding.TextUnmarshaler](field.Addr()); ok {
		return reader.UnmarshalText([]byte(literal.String()))
	}
	switch field.Kind() {
	case reflect.Int64, reflect.Int:
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

// accepts reports whether a field can be decoded from a literal of the kind.
func accepts(field reflect.Value, kind hujson.Kind) bool {
	if isTextType(field.Type()) {
		return kind == '"'
	}
	switch field.Kind() {
	case reflect.Int64, reflect.Int, reflect.Float64:
		return kind == '0'
	case reflect.Bool:
		return kind == 't' || kind == 'f'
	case reflect.String:
		return kind == '"'
	default:
		return false
	}
}

// FieldName returns the JSON name of a struct field.
func FieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}
