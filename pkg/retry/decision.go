package retry

// Decision is what to do after a failed attempt.
type Decision int

// The decisions.
const (
	// EndUnknown ends the request: it may have run.
	EndUnknown Decision = iota
	// EndNotRun ends the request: no byte of it can have reached a target.
	EndNotRun
	// Again makes a new attempt, at another target where there is one.
	Again
	// Resume goes on with the same attempt on a new connection.
	Resume
	// HandOn gives the caller the target's own refusal as the answer.
	HandOn
	// decisions is how many there are.
	decisions
)

// String returns the decision's name.
func (d Decision) String() string {
	names := [decisions]string{"unknown", "not run", "again", "resume", "hand on"}
	return names[d]
}
