package claims

import "time"

// State is the progress of a claimed request.
type State string

// The states.
const (
	// Running requests have not ended, or their daemon failed.
	Running State = "running"
	// Answered requests have ended with a complete answer.
	Answered State = "answered"
	// Unknown requests have ended; it is not known whether they ran.
	Unknown State = "unknown"
)

// Claim is the stored entry of one idempotency key.
type Claim struct {
	// ID identifies the submission that made the claim.
	ID          string      `json:"id"`
	Fingerprint Fingerprint `json:"fingerprint"`
	State       State       `json:"state"`
	// Until is when the claim expires.
	Until time.Time `json:"until"`
	// Response is recorded for answered requests if its body has at most
	// MaxResponseBytes.
	Response *Response `json:"answer,omitempty"`
}

// Response is a recorded response.
type Response struct {
	Status          int    `json:"status"`
	ContentType     string `json:"contentType,omitempty"`
	ContentEncoding string `json:"contentEncoding,omitempty"`
	Body            []byte `json:"body,omitempty"`
}

// MaxResponseBytes is the largest body that is recorded.
const MaxResponseBytes = 2 << 10
