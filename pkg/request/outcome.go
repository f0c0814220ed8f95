package request

// Outcome tells the caller what became of a request.
type Outcome string

// The outcomes.
const (
	// Answered means that the whole answer was handed to the caller.
	Answered Outcome = "answered"
	// NotRun means that no byte of the request reached a target.
	NotRun Outcome = "not run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// HeaderOutcome tells the caller the outcome. Streamed answers bear it as a
// trailer, since it is known only at their end.
const HeaderOutcome = "Amaranth-Outcome"
