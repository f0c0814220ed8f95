package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

// Scalar reads a scalar that it knows by its path into a field and reports true.
// A problem that it returns is noted with its remedy.
type Scalar func(path string, literal hujson.Literal, into reflect.Value) (known bool, remedy string, problem error)

// Decoder fills a value from its text and goes on after a problem, so that a
// reader sees all of them at once.
type Decoder struct {
	text     []byte
	scalar   Scalar
	problems []Problem
	// offsets holds where each field that was read starts in the text.
	offsets map[string]int
	// malformed holds the fields that could not be read.
	malformed map[string]bool
}

// NewDecoder returns a decoder of the text. The scalar reader may be nil.
func NewDecoder(text []byte, scalar Scalar) *Decoder {
	return &Decoder{text: text, scalar: scalar, offsets: make(map[string]int), malformed: make(map[string]bool)}
}

// Decode fills a pointer to a struct. It fails with kind Invalid where the
// syntax is wrong, and leaves what is wrong with fields to Err.
func (d *Decoder) Decode(into any) error {
	if offset, deep := nestsTooDeep(d.text); deep {
		d.problemAt(offset, "", "the text nests too deep", "close the brackets before this line")
		return d.Err("the file is not valid")
	}
	value, err := hujson.Parse(d.text)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "the file is not JSON with comments", "mend the line that the error names")
	}
	d.value(&value, reflect.ValueOf(into).Elem(), "")
	return nil
}

// Malformed reports whether a field stands in the text and could not be read.
func (d *Decoder) Malformed(path string) bool { return d.malformed[path] }

// Err returns the problems so far as one error of kind Invalid, or nil.
func (d *Decoder) Err(reason string) error {
	if len(d.problems) == 0 {
		return nil
	}
	return fault.Wrap(&ProblemsError{Problems: d.sorted()}, fault.Invalid, reason, "mend the fields that are named")
}

// value reads one value into a field.
func (d *Decoder) value(value *hujson.Value, into reflect.Value, path string) {
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
func (d *Decoder) object(object *hujson.Object, into reflect.Value, path string) {
	if into.Kind() != reflect.Struct || isText(into.Type()) {
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
func (d *Decoder) member(member *hujson.ObjectMember, name string, into reflect.Value, path string, seen map[string]bool) {
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
func (d *Decoder) array(array *hujson.Array, into reflect.Value, path string) {
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

// literal reads a scalar.
func (d *Decoder) literal(literal hujson.Literal, into reflect.Value, path string) {
	if d.scalar != nil {
		known, remedy, problem := d.scalar(path, literal, into)
		if problem != nil {
			d.malformed[path] = true
			d.Problem(path, problem.Error(), remedy)
		}
		if known {
			return
		}
	}
	if err := SetScalar(into, literal); err != nil {
		d.malformed[path] = true
		d.Problem(path, err.Error(), "write "+TypeName(into.Type()))
	}
}

// wrongType adds the problem of a value whose shape does not fit.
func (d *Decoder) wrongType(into reflect.Value, path, found string) {
	d.malformed[path] = true
	d.Problem(path, found+" can't stand here", "write "+TypeName(into.Type()))
}

// Problem adds a problem of a field, or of the nearest field around it that
// stands in the text.
func (d *Decoder) Problem(path, reason, remedy string) {
	d.problemAt(d.offsetOf(path), path, reason, remedy)
}

// problemAt adds a problem at an offset of the text.
func (d *Decoder) problemAt(offset int, path, reason, remedy string) {
	line := 1 + bytes.Count(d.text[:offset], []byte("\n"))
	d.problems = append(d.problems, Problem{Line: line, Field: path, Reason: reason, Remedy: remedy})
}

// offsetOf returns where a field, or the nearest one around it, starts.
func (d *Decoder) offsetOf(path string) int {
	for path != "" {
		if offset, ok := d.offsets[path]; ok {
			return offset
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 0
}

// sorted returns the problems in the order of the lines.
func (d *Decoder) sorted() []Problem {
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
		if FieldName(object.Type().Field(i)) == name {
			return object.Field(i)
		}
	}
	return reflect.Value{}
}

// fieldNames returns the names of an object's fields.
func fieldNames(object reflect.Type) []string {
	names := make([]string, 0, object.NumField())
	for i := range object.NumField() {
		names = append(names, FieldName(object.Field(i)))
	}
	return names
}
