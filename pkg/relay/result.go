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
	// ResponseStarted reports whether a part of the answer was written to the
	// caller, so that a failure can be signaled only by aborting the response.
	ResponseStarted bool
	// CallerGone reports whether the caller disconnected before the end.
	CallerGone bool
	// Ran reports whether a target that did not reject the request sent a stream
	// event or a unary response.
	Ran bool
	// Runs is how many targets may have run the request: those of all attempts that were
	// not rejected.
	Runs int
	// Deadline is when the answer had to end. It is after the request's deadline if the
	// timeout of its route was lengthened within the answer.
	Deadline time.Time
	// Attempts is the number of attempts.
	Attempts int
	// Target is where the last attempt was sent, empty if there was none.
	Target ident.Target
	// Events is the number of stream events that were written to the caller.
	Events uint64
	// FirstAt and LastAt are when the first and the last part of the answer were
	// written to the caller, zero if none was.
	FirstAt, LastAt time.Time
}
