package retry

// Failure tells how an attempt ended without its whole answer.
type Failure int

// The failures.
const (
	// ConnectFailed means that no connection could be made.
	ConnectFailed Failure = iota
	// ConnectionLost means that the connection broke, or ended before the
	// answer was complete.
	ConnectionLost
	// Silence means that nothing came for longer than the silence timeout.
	Silence
	// Mismatch means that an answer bore another attempt's id, or was
	// malformed. Its connection must not be used again.
	Mismatch
	// Refused means that the target's own answer says that it takes no work.
	Refused
	// Rejected means that the target states that it did not run the request.
	Rejected
	// StreamGone means that the target no longer holds the stream that was to
	// be resumed.
	StreamGone
	// TooLarge means that the answer exceeds its bound.
	TooLarge
	// DeadlinePassed means that the request's deadline came.
	DeadlinePassed
	// CallerGone means that nobody waits for the answer any more.
	CallerGone
	// failures is how many there are.
	failures
)

// String returns the failure's name, which metrics use as a label.
func (f Failure) String() string {
	names := [failures]string{
		"connect_failed", "connection_lost", "silence", "mismatch", "refused",
		"rejected", "stream_gone", "too_large", "deadline_passed", "caller_gone",
	}
	return names[f]
}
