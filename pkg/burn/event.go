package burn

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Event is how one request went.
type Event struct {
	Workspace ident.Workspace
	Route     ident.Route
	At        time.Time
	// Answered says that the whole answer was handed over. Requests that the
	// caller gave up are not recorded.
	Answered bool
	// FirstToken is the time to the first part of the answer, and TokenGap the
	// mean time between parts; zero where there was none.
	FirstToken time.Duration
	TokenGap   time.Duration
	// Deadline says whether the request bore one, InTime whether it was kept.
	Deadline bool
	InTime   bool
}

// Recorder takes the events of requests.
type Recorder interface {
	// Record counts one request.
	Record(event Event)
}

// judge counts the event by each objective that applies to it.
func (e *Event) judge(knobs *config.BurnKnobs) Counts {
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
