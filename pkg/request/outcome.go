package request

// Outcome is the result of a request, as reported to the caller.
type Outcome string

const (
	// Answered means that the whole answer was sent to the caller.
	Answered Outcome = "answered"
	// NotRun means that no target ran the request: no byte of it reached one, or
	// the targets that it reached rejected it.
	NotRun Outcome = "not run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// HeaderOutcome carries the outcome. Streamed answers have it as a trailer,
// because the outcome is known only at their end.
const HeaderOutcome = "Amaranth-Outcome"
