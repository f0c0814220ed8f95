package admission

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/request"
)

// state is how far a request came.
type state int

// The states of an Entry.
const (
	waiting state = iota
	admitted
	ended
)

// Entry is one request in a Queue.
type Entry struct {
	Request *request.Request
	// Err is why the request was refused, once it was.
	Err error
	// Ready is closed by Fair once the request was admitted or refused.
	ready chan struct{}

	state state
	lane  *lane
	share *share
	// class is the position of the request's class in the order of service.
	class int
	// cost is what the request was charged.
	cost float64
	// at is when the request came, run how long it runs at the least.
	at  time.Time
	run time.Duration
}

// Admitted reports whether the request may run.
func (e *Entry) Admitted() bool { return e.state == admitted }
