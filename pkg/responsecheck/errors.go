package responsecheck

import "github.com/go-faster/errors"

// Reason is the part of a response that is not well-formed. Its text is a label of metrics.
type Reason string

// The reasons.
const (
	// MalformedStatus means that the status line is malformed or the status is none that a
	// response may have.
	MalformedStatus Reason = "status"
	// MalformedField means that the name or the value of a field is malformed.
	MalformedField Reason = "field"
	// MalformedFraming means that the head does not state in one valid way where the body ends.
	MalformedFraming Reason = "framing"
	// IncompleteHead means that the connection ended within the head.
	IncompleteHead Reason = "incomplete_head"
	// EarlyEnd means that the connection ended before the server had received the request,
	// so that the end of the response can't be distinguished from a reset.
	EarlyEnd Reason = "early_end"
	// Unrequested means that the response began before its request was sent.
	Unrequested Reason = "unrequested"
)

// Error is the error of an exchange whose response is not well-formed.
type Error struct {
	Reason Reason
	// detail describes the fault. It quotes nothing of the response, which may be long or secret.
	detail string
}

// Error describes the fault.
func (e *Error) Error() string { return "the response is malformed: " + e.detail }

// ConnectionEnded reports whether the fault is that the server ended the connection, as one
// does that crashes.
func (e *Error) ConnectionEnded() bool { return e.Reason == IncompleteHead || e.Reason == EarlyEnd }

// As returns the Error in an error's chain, or nil.
func As(err error) *Error {
	var malformed *Error
	if errors.As(err, &malformed) {
		return malformed
	}
	return nil
}
