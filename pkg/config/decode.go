package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// decoder fills a document from its text and goes on after a problem, so that
// an operator sees all of them at once.
type decoder struct {
	text     []byte
	problems []Problem
	// offsets holds where each field that was read starts in the text.
	offsets map[string]int
	// malformed holds the fields that could not be read.
	malformed map[string]bool
}

// defaultsPrefix starts the paths of the knobs' defaults.
const defaultsPrefix = "defaults."

// newDecoder returns a decoder of the text.
func newDecoder(text []byte) *decoder {
	return &decoder{text: text, offsets: make(map[string]int), malformed: make(map[string]bool)}
}

// value reads one value into a field.
func (d *decoder) value(value *hujson.Value, into reflect.Value, path string) {
	d.offsets[path] = value.StartOffset
	if into.Type() == reflect.TypeFor[json.RawMessage]() {
		into.SetBytes(rawOf(value))
		return
	}
	switch trimmed := value.Value.(type) {
	case *hujson.Object:
		d.object(trimmed, into, path)
	case *hujson.Array:
		d.array(trimmed, into, path)
	case hujson.Literal:
		d.literal(trimmed, into, path)
	}
}

// rawOf returns a value as plain JSON.
func rawOf(value *hujson.Value) []byte {
	plain := value.Clone()
	plain.Standardize()
	return bytes.TrimSpace(plain.Pack())
}

// object reads an object into a struct.
func (d *decoder) object(object *hujson.Object, into reflect.Value, path string) {
	if into.Kind() != reflect.Struct || into.Type() == reflect.TypeFor[time.Time]() {
		d.wrongType(into, path, "an object")
		return
	}
	seen := make(map[string]bool)
	for i := range object.Members {
		member := &object.Members[i]
		name, _ := member.Name.Value.(hujson.Literal)
		d.member(member, name.String(), into, path, seen)
	}
}

// member reads one member of an object.
func (d *decoder) member(member *hujson.ObjectMember, name string, into reflect.Value, path string, seen map[string]bool) {
	full := joinPath(path, name)
	field := fieldOf(into, name)
	if !field.IsValid() {
		d.problemAt(member.Name.StartOffset, full, "there is no such field", "use one of "+strings.Join(fieldNames(into.Type()), ", "))
		return
	}
	if seen[name] {
		d.problemAt(member.Name.StartOffset, full, "the field stands twice", "keep one of them")
		return
	}
	seen[name] = true
	d.value(&member.Value, field, full)
}

// array reads a list into a slice.
func (d *decoder) array(array *hujson.Array, into reflect.Value, path string) {
	if into.Kind() != reflect.Slice {
		d.wrongType(into, path, "a list")
		return
	}
	list := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.value(&array.Elements[i], list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	into.Set(list)
}

// literal reads a scalar, with the range where the field is a knob.
func (d *decoder) literal(literal hujson.Literal, into reflect.Value, path string) {
	knob := knobTable().byPath[strings.TrimPrefix(path, defaultsPrefix)]
	if knob != nil && strings.HasPrefix(path, defaultsPrefix) {
		value, err := knob.read(literal)
		if err != nil {
			d.malformed[path] = true
			d.problem(path, err.Error(), knob.remedy())
			return
		}
		into.Set(value)
		return
	}
	if err := setScalar(into, literal); err != nil {
		d.malformed[path] = true
		d.problem(path, err.Error(), "write "+typeName(into.Type()))
	}
}

// wrongType adds the problem of a value whose shape does not fit.
func (d *decoder) wrongType(into reflect.Value, path, found string) {
	d.malformed[path] = true
	d.problem(path, found+" can't stand here", "write "+typeName(into.Type()))
}

// problem adds a problem of a field, or of the nearest field around it that
// stands in the text.
func (d *decoder) problem(path, reason, remedy string) {
	d.problemAt(d.offsetOf(path), path, reason, remedy)
}

// problemAt adds a problem at an offset of the text.
func (d *decoder) problemAt(offset int, path, reason, remedy string) {
	line := 1 + bytes.Count(d.text[:offset], []byte("\n"))
	d.problems = append(d.problems, Problem{Line: line, Field: path, Reason: reason, Remedy: remedy})
}

// offsetOf returns where a field, or the nearest one around it, starts.
func (d *decoder) offsetOf(path string) int {
	for path != "" {
		if offset, ok := d.offsets[path]; ok {
			return offset
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 0
}

// sorted returns the problems in the order of the lines.
func (d *decoder) sorted() []Problem {
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return a.Line - b.Line })
	return d.problems
}

// joinPath appends a field's name to the path of its object.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldOf returns the field with a name in the document, or the zero value.
func fieldOf(object reflect.Value, name string) reflect.Value {
	for i := range object.NumField() {
		if jsonName(object.Type().Field(i)) == name {
			return object.Field(i)
		}
	}
	return reflect.Value{}
}

// fieldNames returns the names of an object's fields.
func fieldNames(object reflect.Type) []string {
	names := make([]string, 0, object.NumField())
	for i := range object.NumField() {
		names = append(names, jsonName(object.Field(i)))
	}
	return names
}
