package request

// State is a request's position in its lifecycle.
type State int

// The states, of which the last three are final.
const (
	// Received requests have arrived and are being authenticated.
	Received State = iota
	// Queued requests wait to be admitted.
	Queued
	// Admitted requests may be sent to a target.
	Admitted
	// Attempting requests are being sent to a target.
	Attempting
	// Streaming requests have delivered a part of the answer to the caller.
	Streaming
	// EndedAnswered, EndedNotRun and EndedUnknown are the final states, one for
	// each outcome.
	EndedAnswered
	EndedNotRun
	EndedUnknown
	// NumStates is the number of states.
	NumStates
)

// successors lists the states that may follow each state.
var successors = [NumStates][]State{
	Received:   {Queued, EndedAnswered, EndedNotRun, EndedUnknown},
	Queued:     {Admitted, EndedNotRun},
	Admitted:   {Attempting, EndedAnswered, EndedNotRun, EndedUnknown},
	Attempting: {Attempting, Streaming, EndedAnswered, EndedNotRun, EndedUnknown},
	Streaming:  {EndedAnswered, EndedUnknown},
}

// String returns the state's name, which metrics use as a label.
func (s State) String() string {
	names := [NumStates]string{"received", "queued", "admitted", "attempting", "streaming", "answered", "not_run", "unknown"}
	return names[s]
}

// Final reports whether the state is final.
func (s State) Final() bool { return len(successors[s]) == 0 }

// FinalState returns the final state for the outcome.
func (o Outcome) FinalState() State {
	switch o {
	case Answered:
		return EndedAnswered
	case NotRun:
		return EndedNotRun
	case Unknown:
		return EndedUnknown
	}
	return EndedUnknown
}
