package relay

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Result is the result of sending a request to targets.
type Result struct {
	Outcome request.Outcome
	Usage   request.TokenUsage
	// Err is set unless the outcome is Answered.
	Err error
	// ResponseStarted says that a part of the answer was written to the caller,
	// so that a failure can be signaled only by aborting the response.
	ResponseStarted bool
	// CallerGone says that the caller disconnected before the end.
	CallerGone bool
	// Ran says that some target gave a sign that it began to run the request.
	Ran bool
	// Attempts counts the attempts.
	Attempts int
	// Target is where the last attempt was sent, empty if there was none.
	Target ident.Target
	// Events counts the stream events that were written to the caller.
	Events uint64
	// FirstAt and LastAt are when the first and the last part of the answer were
	// written to the caller, zero if none was.
	FirstAt, LastAt time.Time
}
