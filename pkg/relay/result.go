package relay

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Result is what became of a request at the targets.
type Result struct {
	Outcome request.Outcome
	Figures request.Figures
	// Err is set unless the outcome is Answered.
	Err error
	// Started says that a part of the answer was handed to the caller, so
	// that nothing but an abort can tell of a failure.
	Started bool
	// CallerGone says that the caller left before the end.
	CallerGone bool
	// Ran says that some target showed that it began to run the request.
	Ran bool
	// Attempts counts the sends.
	Attempts int
	// Target is where the last send went, empty without one.
	Target ident.Target
	// Events counts the stream events that were handed to the caller.
	Events uint64
	// FirstAt and LastAt are when the answer's first and last part were
	// handed to the caller. They are zero where nothing was.
	FirstAt, LastAt time.Time
}
