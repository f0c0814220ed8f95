package claims

import "time"

// State tells what became of a claimed request.
type State string

// The states.
const (
	// Running requests have not ended, or their daemon is gone.
	Running State = "running"
	// Answered requests have ended with a whole answer.
	Answered State = "answered"
	// Unknown requests have ended and may have run.
	Unknown State = "unknown"
)

// Claim is one key's entry in the store.
type Claim struct {
	// ID distinguishes the submissions of one key.
	ID          string      `json:"id"`
	Fingerprint Fingerprint `json:"fingerprint"`
	State       State       `json:"state"`
	// Until is when the claim is forgotten.
	Until time.Time `json:"until"`
	// Answer is kept for answered requests whose answer is small.
	Answer *Answer `json:"answer,omitempty"`
}

// Answer is a recorded answer.
type Answer struct {
	Status          int    `json:"status"`
	ContentType     string `json:"contentType,omitempty"`
	ContentEncoding string `json:"contentEncoding,omitempty"`
	Body            []byte `json:"body,omitempty"`
}

// MaxAnswerBytes is the largest body that is recorded.
const MaxAnswerBytes = 2 << 10
