package jsonc

import (
	"fmt"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

// FieldError is one thing that is wrong with a document.
type FieldError struct {
	// Line is counted from one.
	Line int
	// Field is the path of the field, such as "listen.callers".
	Field string
	// Problem says what is wrong, Remedy what to write instead.
	Problem string
	Remedy  string
}

// Error returns the issue in one line.
func (i *FieldError) Error() string {
	if i.Field == "" {
		return fmt.Sprintf("line %d: %s; %s", i.Line, i.Problem, i.Remedy)
	}
	return fmt.Sprintf("line %d: %s %s; %s", i.Line, i.Field, i.Problem, i.Remedy)
}

// Unwrap returns an error of kind Invalid.
func (i *FieldError) Unwrap() error {
	return fault.New(fault.Invalid, i.Problem, i.Remedy)
}
