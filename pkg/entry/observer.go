package entry

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Observer receives an observation of each relayed request, for example to
// compute the burn rates of error budgets.
type Observer interface {
	// Observe records one completed request.
	Observe(observation Observation)
}

// Observation holds the outcome and timing of one request.
type Observation struct {
	Workspace ident.Workspace
	Route     ident.Route
	Class     ident.Class
	Model     ident.Model
	Outcome   request.Outcome
	// CallerGone reports whether the caller disconnected before the end.
	CallerGone bool
	// FirstPart is the time to the first part of the response, or zero if no
	// part was sent. Total is the time to the end of the request.
	FirstPart, Total time.Duration
	// HasDeadline reports whether the caller sent a deadline of its own. InTime
	// reports whether the request was answered by its deadline.
	HasDeadline, InTime bool
	// Events is the number of stream events sent to the caller.
	Events uint64
}

// TokenGap returns the mean time between stream events, or zero if there were
// fewer than two.
func (o *Observation) TokenGap() time.Duration {
	if o.Events < 2 {
		return 0
	}
	return (o.Total - o.FirstPart) / time.Duration(o.Events-1)
}

// noObserver discards observations.
type noObserver struct{}

// Observe does nothing.
func (noObserver) Observe(Observation) {}
