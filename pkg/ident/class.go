package ident

// Class tells how urgently a request must be answered.
type Class string

// The classes, from the most urgent to the least.
const (
	// ClassLookup is a short question that must always be answered.
	ClassLookup Class = "lookup"
	// ClassInteractive is a request whose caller waits for it.
	ClassInteractive Class = "interactive"
	// ClassDeferrable is a request with a deadline far ahead.
	ClassDeferrable Class = "deferrable"
)
