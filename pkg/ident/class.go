package ident

// Class is the service class of a request: how long its caller can wait.
type Class string

// The classes, in order of decreasing precedence.
const (
	// ClassLookup is a short request that must always be answered.
	ClassLookup Class = "lookup"
	// ClassInteractive is a request whose caller waits for it.
	ClassInteractive Class = "interactive"
	// ClassDeferrable is a request with a deadline far ahead.
	ClassDeferrable Class = "deferrable"
)
