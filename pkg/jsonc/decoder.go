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

// ScalarDecoder is a hook that decodes the scalar at a path into a field. It
// reports known if it handles the path; other scalars are decoded by their type.
// If it returns a problem, the problem is added with the remedy.
type ScalarDecoder func(path string, literal hujson.Literal, into reflect.Value) (known bool, remedy string, problem error)

// Decoder decodes JSON with comments into a struct. It continues after a problem,
// so that all problems are reported at once.
type Decoder struct {
	text         []byte
	decodeScalar ScalarDecoder
	problems     []Problem
	// offsets holds the offset in the text of each decoded field.
	offsets map[string]int
	// malformed holds the fields that could not be decoded.
	malformed map[string]bool
}

// NewDecoder returns a decoder of the text. The decodeScalar hook may be nil.
func NewDecoder(text []byte, decodeScalar ScalarDecoder) *Decoder {
	return &Decoder{text: text, decodeScalar: decodeScalar, offsets: make(map[string]int), malformed: make(map[string]bool)}
}

// Decode decodes the text into the struct that into points to. It returns an
// error of kind Invalid if the syntax is wrong; problems with fields are returned
// by Err.
func (d *Decoder) Decode(into any) error {
	if offset, deep := findExcessiveNesting(d.text); deep {
		d.addProblemAt(offset, "", "the text is nested too deeply", "close the brackets before this line")
		return d.Err("the file is not valid")
	}
	value, err := hujson.Parse(d.text)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "the file is not JSON with comments", "correct the line that the error names")
	}
	d.decodeValue(&value, reflect.ValueOf(into).Elem(), "")
	return nil
}

// Malformed reports whether a field is present in the text but could not be
// decoded.
func (d *Decoder) Malformed(path string) bool { return d.malformed[path] }

// Err returns the problems so far as one error of kind Invalid, or nil.
func (d *Decoder) Err(reason string) error {
	if len(d.problems) == 0 {
		return nil
	}
	return fault.Wrap(&ProblemsError{Problems: d.sortProblems()}, fault.Invalid, reason, "correct the fields that are named")
}

// decodeValue decodes a value into a field.
func (d *Decoder) decodeValue(value *hujson.Value, into reflect.Value, path string) {
	d.offsets[path] = value.StartOffset
	if into.Type() == reflect.TypeFor[json.RawMessage]() {
		into.SetBytes(rawJSON(value))
		return
	}
	switch trimmed := value.Value.(type) {
	case *hujson.Object:
		d.decodeObject(trimmed, into, path)
	case *hujson.Array:
		d.decodeArray(trimmed, into, path)
	case hujson.Literal:
		d.decodeLiteral(trimmed, into, path)
	}
}

// rawJSON returns a value as plain JSON, without comments.
func rawJSON(value *hujson.Value) []byte {
	plain := value.Clone()
	plain.Standardize()
	return bytes.TrimSpace(plain.Pack())
}

// decodeObject decodes an object into a struct.
func (d *Decoder) decodeObject(object *hujson.Object, into reflect.Value, path string) {
	if into.Kind() != reflect.Struct || isTextType(into.Type()) {
		d.addTypeProblem(into, path, "an object")
		return
	}
	seen := make(map[string]bool)
	for i := range object.Members {
		member := &object.Members[i]
		name, _ := member.Name.Value.(hujson.Literal)
		d.decodeMember(member, name.String(), into, path, seen)
	}
}

// decodeMember decodes one member of an object.
func (d *Decoder) decodeMember(member *hujson.ObjectMember, name string, into reflect.Value, path string, seen map[string]bool) {
	full := joinPath(path, name)
	field := fieldOf(into, name)
	if !field.IsValid() {
		d.addProblemAt(member.Name.StartOffset, full, "there is no such field", "use one of "+strings.Join(fieldNames(into.Type()), ", "))
		return
	}
	if seen[name] {
		d.addProblemAt(member.Name.StartOffset, full, "duplicate field", "keep one of them")
		return
	}
	seen[name] = true
	d.decodeValue(&member.Value, field, full)
}

// decodeArray decodes a list into a slice.
func (d *Decoder) decodeArray(array *hujson.Array, into reflect.Value, path string) {
	if into.Kind() != reflect.Slice {
		d.addTypeProblem(into, path, "a list")
		return
	}
	list := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.decodeValue(&array.Elements[i], list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	into.Set(list)
}

// decodeLiteral decodes a scalar, by the decodeScalar hook if it handles the path.
func (d *Decoder) decodeLiteral(literal hujson.Literal, into reflect.Value, path string) {
	if d.decodeScalar != nil {
		known, remedy, problem := d.decodeScalar(path, literal, into)
		if problem != nil {
			d.malformed[path] = true
			d.AddProblem(path, problem.Error(), remedy)
		}
		if known {
			return
		}
	}
	if err := SetScalar(into, literal); err != nil {
		d.malformed[path] = true
		d.AddProblem(path, err.Error(), "write "+TypeName(into.Type()))
	}
}

// addTypeProblem adds a problem for an object or list where another type is
// expected.
func (d *Decoder) addTypeProblem(into reflect.Value, path, found string) {
	d.malformed[path] = true
	d.AddProblem(path, found+" is not allowed here", "write "+TypeName(into.Type()))
}

// AddProblem adds a problem with a field. Its line is that of the field or, if the
// field is missing from the text, of the nearest enclosing one.
func (d *Decoder) AddProblem(path, reason, remedy string) {
	d.addProblemAt(d.offsetOf(path), path, reason, remedy)
}

// addProblemAt adds a problem at an offset in the text.
func (d *Decoder) addProblemAt(offset int, path, reason, remedy string) {
	line := 1 + bytes.Count(d.text[:offset], []byte("\n"))
	d.problems = append(d.problems, Problem{Line: line, Field: path, Reason: reason, Remedy: remedy})
}

// offsetOf returns the offset of a field, or of the nearest enclosing one in the
// text.
func (d *Decoder) offsetOf(path string) int {
	for path != "" {
		if offset, ok := d.offsets[path]; ok {
			return offset
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 0
}

// sortProblems sorts the problems by line and returns them.
func (d *Decoder) sortProblems() []Problem {
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return a.Line - b.Line })
	return d.problems
}

// joinPath appends the name of a field to the path of its object.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldOf returns the struct field with the given JSON name, or the zero Value.
func fieldOf(object reflect.Value, name string) reflect.Value {
	for i := range object.NumField() {
		if FieldName(object.Type().Field(i)) == name {
			return object.Field(i)
		}
	}
	return reflect.Value{}
}

// fieldNames returns the JSON names of a struct's fields.
func fieldNames(object reflect.Type) []string {
	names := make([]string, 0, object.NumField())
	for i := range object.NumField() {
		names = append(names, FieldName(object.Field(i)))
	}
	return names
}
