package fault

import (
	"time"

	"github.com/go-faster/errors"
)

// Error is an error with a kind and a remedy.
type Error struct {
	// Kind is the class of the error, by which code distinguishes errors.
	Kind Kind
	// Reason describes what failed. It contains no secrets.
	Reason string
	// Remedy is what the reader can do about it.
	Remedy string
	// Cause is the underlying error, or nil.
	Cause error
	// RetryAfter is how long to wait before trying again; zero means that no
	// wait is advised.
	RetryAfter time.Duration
}

// New returns an error of the given kind.
func New(kind Kind, reason, remedy string) *Error {
	return &Error{Kind: kind, Reason: reason, Remedy: remedy}
}

// Wrap returns an error of the given kind that wraps cause.
func Wrap(cause error, kind Kind, reason, remedy string) *Error {
	return &Error{Kind: kind, Reason: reason, Remedy: remedy, Cause: cause}
}

// Error returns the reason, the cause and the remedy in one line.
func (e *Error) Error() string {
	text := string(e.Kind) + ": " + e.Reason
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	if e.Remedy != "" {
		text += "; " + e.Remedy
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Is reports whether target is an Error of the same kind and, if target has a
// reason, of the same reason. Sentinel values without a reason thus match every
// error of their kind.
func (e *Error) Is(target error) bool {
	var other *Error
	if !errors.As(target, &other) {
		return false
	}
	return other.Kind == e.Kind && (other.Reason == "" || other.Reason == e.Reason)
}

// KindOf returns the kind of err, or Internal if it has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// WithRetryAfter returns a copy of the error whose RetryAfter is d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	copied := *e
	copied.RetryAfter = d
	return &copied
}

// RetryAfterOf returns the RetryAfter of err, or zero if it has none.
func RetryAfterOf(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}

// As returns the first Error in err's chain, or false if there is none.
func As(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}
