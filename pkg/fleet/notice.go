package fleet

import "time"

// TargetNotice is what a target states about itself in an answer, whatever the answer
// is to. The zero value states nothing.
type TargetNotice struct {
	// Leaving is set if the target is about to end and wants no new work. It holds
	// for the rest of the target's incarnation.
	Leaving bool
	// Pause is how long, from now on, the target wants nothing from this daemon. It
	// is zero if the target asks for no pause.
	Pause time.Duration
	// MalformedPause is the text of a pause that is not a number of seconds within
	// bounds, shortened, or empty. Pause is what it was taken for.
	MalformedPause string
}
