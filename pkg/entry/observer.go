package entry

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Observer is told of each request's end, such as for service-level burn.
type Observer interface {
	// Observe takes one ended request.
	Observe(observation Observation)
}

// Observation is how one request went.
type Observation struct {
	Workspace ident.Workspace
	Route     ident.Route
	Class     ident.Class
	Model     ident.Model
	Outcome   request.Outcome
	// CallerGone says that the caller left before the end.
	CallerGone bool
	// FirstPart is the time to the first part of the answer, and Total the
	// time to its end.
	FirstPart, Total time.Duration
	// Deadline says that the caller stated one, InTime that the whole answer
	// kept it.
	Deadline, InTime bool
	// Events counts the stream events that were handed to the caller.
	Events uint64
}

// TokenGap returns the mean time between stream events, or zero.
func (o *Observation) TokenGap() time.Duration {
	if o.Events < 2 {
		return 0
	}
	return (o.Total - o.FirstPart) / time.Duration(o.Events-1)
}

// noObserver takes nothing down.
type noObserver struct{}

// Observe does nothing.
func (noObserver) Observe(Observation) {}
