package request

import "slices"

// Lifecycle tracks the state of one request. It is not safe for concurrent use.
type Lifecycle struct {
	state State
	// observe is called with the old and the new state of each transition.
	observe func(from, to State)
}

// NewLifecycle returns the lifecycle of a request that was just received.
func NewLifecycle(observe func(from, to State)) *Lifecycle { return &Lifecycle{observe: observe} }

// State returns the current state.
func (l *Lifecycle) State() State { return l.state }

// TransitionTo changes to the next state. If that state can't follow the current
// one, it changes nothing and reports false.
func (l *Lifecycle) TransitionTo(next State) bool {
	if !slices.Contains(successors[l.state], next) {
		return false
	}
	l.observe(l.state, next)
	l.state = next
	return true
}
