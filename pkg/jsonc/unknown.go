package jsonc

import (
	"encoding"
	"encoding/json"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// unknownFields returns an issue for every member that its type does not have.
func (t *Text) unknownFields(value hujson.Value, kind reflect.Type, path string) []*FieldError {
	for kind.Kind() == reflect.Pointer {
		kind = kind.Elem()
	}
	if readsItself(kind) {
		return nil
	}
	switch node := value.Value.(type) {
	case *hujson.Object:
		return t.unknownMembers(node, kind, path)
	case *hujson.Array:
		if kind.Kind() != reflect.Slice {
			return nil
		}
		var issues []*FieldError
		for i := range node.Elements {
			issues = append(issues, t.unknownFields(node.Elements[i], kind.Elem(), path)...)
		}
		return issues
	}
	return nil
}

// unknownMembers looks at one object.
func (t *Text) unknownMembers(object *hujson.Object, kind reflect.Type, path string) []*FieldError {
	if kind.Kind() != reflect.Struct {
		return nil
	}
	fields := fieldsOf(kind)
	var issues []*FieldError
	for _, member := range object.Members {
		name, _ := member.Name.Value.(hujson.Literal)
		field := join(path, name.String())
		kind, known := fields[name.String()]
		if !known {
			line := t.lineAt(member.Name.StartOffset)
			issues = append(issues, &FieldError{Line: line, Field: field, Problem: "is not known", Remedy: "remove it, or correct its name"})
			continue
		}
		issues = append(issues, t.unknownFields(member.Value, kind, field)...)
	}
	return issues
}

// fieldsOf returns the types of a struct's fields by their JSON names.
func fieldsOf(kind reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, kind.NumField())
	for i := range kind.NumField() {
		name, _, _ := strings.Cut(kind.Field(i).Tag.Get("json"), ",")
		fields[name] = kind.Field(i).Type
	}
	return fields
}

// readsItself reports whether a type decodes its own JSON.
func readsItself(kind reflect.Type) bool {
	pointer := reflect.PointerTo(kind)
	return pointer.Implements(reflect.TypeFor[json.Unmarshaler]()) || pointer.Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

// join appends a name to a field's path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
