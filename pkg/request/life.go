package request

import "slices"

// Life follows one request through its states. It is used by one goroutine.
type Life struct {
	state State
	// observe is called with each state that is left and entered.
	observe func(from, to State)
}

// NewLife returns the life of a request that was just received.
func NewLife(observe func(from, to State)) *Life { return &Life{observe: observe} }

// State returns the present state.
func (l *Life) State() State { return l.state }

// To goes on to a state, and reports false without a change where the present
// state can't be followed by it.
func (l *Life) To(next State) bool {
	if !slices.Contains(successors[l.state], next) {
		return false
	}
	l.observe(l.state, next)
	l.state = next
	return true
}
