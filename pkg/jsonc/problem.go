package jsonc

import (
	"fmt"
	"strings"
)

// Problem is one thing that is wrong with a document.
type Problem struct {
	// Line counts from one.
	Line int `json:"line"`
	// Field is the path of the field, such as "exceptions[2].reason".
	Field  string `json:"field"`
	Reason string `json:"reason"`
	// Remedy says what the operator can do.
	Remedy string `json:"remedy"`
}

// String returns the problem in one line.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("line %d: %s; %s", p.Line, p.Reason, p.Remedy)
	}
	return fmt.Sprintf("line %d: %s: %s; %s", p.Line, p.Field, p.Reason, p.Remedy)
}

// ProblemsError is everything that is wrong with a document, in
// the order of the lines.
type ProblemsError struct {
	Problems []Problem
}

// Error returns the problems, each in a line of its own.
func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i := range e.Problems {
		lines[i] = e.Problems[i].String()
	}
	return strings.Join(lines, "\n")
}
