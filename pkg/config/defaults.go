package config

import (
	"reflect"
	"strconv"
	"time"
)

// BuiltinKnobs returns the knobs at their built-in values.
func BuiltinKnobs() Knobs {
	var knobs Knobs
	fillDefaults(reflect.ValueOf(&knobs).Elem())
	return knobs
}

// fillDefaults sets every field of a section and its subsections from the default
// tags. It panics on a malformed tag, which is a programming error.
func fillDefaults(section reflect.Value) {
	for i := range section.NumField() {
		field := section.Field(i)
		if field.Kind() == reflect.Struct {
			fillDefaults(field)
			continue
		}
		setFromTag(field, section.Type().Field(i))
	}
}

// setFromTag sets one field from its default tag.
func setFromTag(field reflect.Value, info reflect.StructField) {
	text := info.Tag.Get("default")
	var err error
	switch field.Interface().(type) {
	case Duration:
		var d time.Duration
		d, err = time.ParseDuration(text)
		field.SetInt(int64(d))
	case int64:
		var n int64
		n, err = strconv.ParseInt(text, 10, 64)
		field.SetInt(n)
	case float64:
		var x float64
		x, err = strconv.ParseFloat(text, 64)
		field.SetFloat(x)
	case bool:
		var b bool
		b, err = strconv.ParseBool(text)
		field.SetBool(b)
	default:
		panic("config: knob " + info.Name + " has a type without defaults")
	}
	if err != nil {
		panic("config: knob " + info.Name + " has a malformed default: " + err.Error())
	}
}
