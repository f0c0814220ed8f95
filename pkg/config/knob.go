package config

import (
	"reflect"
	"sync"

	"amaranthplank.example/amaranthplank/pkg/jsonc"
)

// Knob describes one value that the defaults, and usually exceptions, may set.
// Documents and messages to operators call it a setting.
type Knob struct {
	// Path is the knob's name in exceptions, such as "retry.maxAttempts".
	Path string
	// Unit, Default, Min and Max are the values of the field's struct tags.
	Unit    string
	Default string
	Min     string
	Max     string
	// FleetWide knobs have one value for the whole fleet and take no exceptions.
	FleetWide bool

	// index is the position of the knob's field in Knobs.
	index     []int
	fieldType reflect.Type
}

// fleetWide is the value of the scope tag of knobs that take no exceptions.
const fleetWide = "fleet"

// KnobTable returns all knobs in the order of their declaration.
func KnobTable() []Knob { return knobTable().list }

// knobIndex is the list of knobs with an index by path.
type knobIndex struct {
	list   []Knob
	byPath map[string]*Knob
}

// knobTable builds the index once, since the types never change.
var knobTable = sync.OnceValue(func() *knobIndex {
	index := &knobIndex{byPath: make(map[string]*Knob)}
	index.collect(reflect.TypeFor[Knobs](), "", nil)
	for i := range index.list {
		index.byPath[index.list[i].Path] = &index.list[i]
	}
	return index
})

// collect adds the knobs of a section and of the sections nested in it.
func (x *knobIndex) collect(section reflect.Type, prefix string, at []int) {
	for i := range section.NumField() {
		field := section.Field(i)
		path := prefix + jsonc.FieldName(field)
		index := append(append([]int(nil), at...), i)
		if field.Type.Kind() == reflect.Struct {
			x.collect(field.Type, path+".", index)
			continue
		}
		x.list = append(x.list, Knob{
			Path: path, Unit: field.Tag.Get("unit"), Default: field.Tag.Get("default"),
			Min: field.Tag.Get("min"), Max: field.Tag.Get("max"),
			FleetWide: field.Tag.Get("scope") == fleetWide, index: index, fieldType: field.Type,
		})
	}
}

// fieldIn returns the knob's field in the given values.
func (k *Knob) fieldIn(knobs *Knobs) reflect.Value {
	return reflect.ValueOf(knobs).Elem().FieldByIndex(k.index)
}
