package relay

import "amaranthplank.example/amaranthplank/pkg/request"

// Result is what became of a request at the targets.
type Result struct {
	Outcome request.Outcome
	Figures request.Figures
	// Err is set unless the outcome is Answered.
	Err error
	// Started says that a part of the answer was handed to the caller, so
	// that nothing but an abort can tell of a failure.
	Started bool
}
