package burn

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Event is the result of one request.
type Event struct {
	Workspace ident.Workspace
	Route     ident.Route
	At        time.Time
	// Answered reports whether the complete answer was delivered. Requests that
	// the caller canceled are not recorded.
	Answered bool
	// FirstToken is the time to the first part of the answer, and TokenGap the
	// mean time between parts; zero if there was none.
	FirstToken time.Duration
	TokenGap   time.Duration
	// Deadline reports whether the request had a deadline, and InTime whether
	// it was met.
	Deadline bool
	InTime   bool
}

// Recorder counts events.
type Recorder interface {
	// Record counts one request.
	Record(event Event)
}

// evaluate returns the event's counts for each objective that applies to it.
func (e *Event) evaluate(knobs *config.BurnKnobs) Counts {
	var c Counts
	c.add(Availability, e.Answered)
	if e.FirstToken > 0 {
		c.add(FirstToken, e.FirstToken <= knobs.FirstToken.D())
	}
	if e.TokenGap > 0 {
		c.add(TokenGap, e.TokenGap <= knobs.TokenGap.D())
	}
	if e.Deadline {
		c.add(Deadline, e.InTime)
	}
	return c
}
