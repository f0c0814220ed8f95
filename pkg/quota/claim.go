package quota

import "time"

// State is the state of a Claim.
type State int

// The states of a Claim.
const (
	// Waiting means that a keeper has not answered yet.
	Waiting State = iota
	// Admitted means that the request may run.
	Admitted
	// Refused means that the workspace is at its limit, or that no keeper answers.
	Refused
)

// Claim is one request's claim to units.
type Claim struct {
	cost  float64
	since time.Time
	state State
	// waited is set once the claim waits for units that a keeper does not have yet.
	waited bool
	// refusal is set if the claim is refused.
	refusal Refusal
	// decided is closed when the state is no longer Waiting. It is nil for claims that were
	// decided at the beginning.
	decided chan struct{}
}

// Refusal describes why a claim was refused.
type Refusal struct {
	// Wait is the time after which the units may be granted.
	Wait time.Duration
	// Unanswered is set if no keeper answered in time.
	Unanswered bool
	// Used are the units that this daemon has used of late, and Granted those that keepers
	// have granted to it. Age is the time since the last grant, or zero if there was none.
	Used, Granted float64
	Age           time.Duration
}

// decide ends the waiting.
func (c *Claim) decide(state State) {
	c.state = state
	if c.decided != nil {
		close(c.decided)
	}
}
