package jsonc

import (
	"strings"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

// FieldErrors is everything that is wrong with a document.
type FieldErrors []*FieldError

// Join returns the issues as one error, or nil where there are none.
func Join(issues []*FieldError) error {
	if len(issues) == 0 {
		return nil
	}
	return FieldErrors(issues)
}

// Error returns the issues, one a line.
func (i FieldErrors) Error() string {
	lines := make([]string, 0, len(i))
	for _, issue := range i {
		lines = append(lines, issue.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns an error of kind Invalid.
func (i FieldErrors) Unwrap() error {
	return fault.New(fault.Invalid, "the file has faults", "correct the lines that the error names")
}
