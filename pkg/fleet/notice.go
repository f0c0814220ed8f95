package fleet

import "time"

// TargetNotice is what a target states about itself in an answer, whatever the answer
// is to. The zero value states nothing.
type TargetNotice struct {
	// Leaving is set if the target is about to end and must get no new work. It holds
	// for the rest of the target's incarnation.
	Leaving bool
	// Pause is how long, from now on, this daemon must send the target nothing. It is
	// zero if the target requests no pause.
	Pause time.Duration
	// MalformedPause is the text of a pause that is not a number of seconds within
	// bounds, shortened, or empty. Pause is what it was taken for.
	MalformedPause string
	// Limit is what the answer states about a limit on requests.
	Limit RequestLimit
}

// LimitStatement is what an answer states about a limit.
type LimitStatement int

const (
	// LimitUnknown means that the answer states nothing about a limit: it is not the
	// target's own, or what it states can't be read.
	LimitUnknown LimitStatement = iota
	// LimitNone means that the target has no limit.
	LimitNone
	// LimitStated means that the target has a limit.
	LimitStated
)

// RequestLimit is the number of requests that a target takes from all hosts together.
type RequestLimit struct {
	Statement LimitStatement
	// PerSecond is the limit in requests per second.
	PerSecond float64
	// Malformed is the text of a limit that is not one number, shortened, or empty.
	Malformed string
}
