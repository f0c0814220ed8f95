package request

import "slices"

// Life tracks the state of one request. It is used by one goroutine.
type Life struct {
	state State
	// observe is called with the old and the new state of each transition.
	observe func(from, to State)
}

// NewLife returns the life of a request that was just received.
func NewLife(observe func(from, to State)) *Life { return &Life{observe: observe} }

// State returns the current state.
func (l *Life) State() State { return l.state }

// To changes to the next state. If that state can't follow the current one, it
// changes nothing and reports false.
func (l *Life) To(next State) bool {
	if !slices.Contains(successors[l.state], next) {
		return false
	}
	l.observe(l.state, next)
	l.state = next
	return true
}
