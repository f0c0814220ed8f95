package retry

// Decision is what to do after a failed attempt.
type Decision int

const (
	// EndUnknown ends the request, which may have run.
	EndUnknown Decision = iota
	// EndNotRun ends the request, which no target can have run.
	EndNotRun
	// Again makes a new attempt, at another target if there is one.
	Again
	// Resume continues the same attempt on a new connection.
	Resume
	// Forward returns the target's own refusal to the caller as the answer.
	Forward
	// decisions is the number of decisions.
	decisions
)

// String returns the decision's name, which metrics use as a label.
func (d Decision) String() string {
	names := [decisions]string{"unknown", "not run", "again", "resume", "hand on"}
	return names[d]
}
