package admission

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/request"
)

// state is the progress of a request through the queue.
type state int

// The states of an Entry.
const (
	waiting state = iota
	admitted
	ended
)

// Entry is a request in a Queue.
type Entry struct {
	Request *request.Request
	// Err is the reason of the refusal, if the request was refused.
	Err error
	// ready is closed by FairController once the request was admitted or refused.
	ready chan struct{}

	state     state
	scheduler *scheduler
	flow      *flow
	// class is the index of the request's class in service order.
	class int
	// cost is the expected cost that was charged for the request.
	cost float64
	// arrivedAt is when the request was offered, minRunTime the least time that
	// it takes to run.
	arrivedAt  time.Time
	minRunTime time.Duration
}

// Admitted reports whether the request may run.
func (e *Entry) Admitted() bool { return e.state == admitted }
