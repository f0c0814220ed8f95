package jsonc

import (
	"fmt"
	"strings"
)

// Problem describes one error in a document.
type Problem struct {
	// Line is the line number, starting at 1.
	Line int `json:"line"`
	// Field is the path of the field, such as "exceptions[2].reason".
	Field  string `json:"field"`
	Reason string `json:"reason"`
	// Remedy says how the operator can fix the problem.
	Remedy string `json:"remedy"`
}

// String returns the problem in one line.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("line %d: %s; %s", p.Line, p.Reason, p.Remedy)
	}
	return fmt.Sprintf("line %d: %s: %s; %s", p.Line, p.Field, p.Reason, p.Remedy)
}

// ProblemsError lists all problems of a document, ordered by line.
type ProblemsError struct {
	Problems []Problem
}

// Error returns the problems, one per line.
func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i := range e.Problems {
		lines[i] = e.Problems[i].String()
	}
	return strings.Join(lines, "\n")
}
