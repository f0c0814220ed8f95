package retry

// Failure is the reason that an attempt ended without a complete answer.
type Failure int

const (
	// ConnectFailed means that no connection could be made.
	ConnectFailed Failure = iota
	// ConnectionLost means that the connection broke or ended before the answer
	// was complete.
	ConnectionLost
	// Silence means that no data arrived within the silence timeout.
	Silence
	// Mismatch means that a response did not belong to the attempt or was
	// malformed. Its connection must not be used again.
	Mismatch
	// Refused means that the target reported that it failed or accepts no work.
	Refused
	// Rejected means that the target reported that it did not run the request.
	Rejected
	// StreamGone means that the target no longer holds the stream to be resumed.
	StreamGone
	// TooLarge means that the response exceeds its size limit.
	TooLarge
	// DeadlinePassed means that the request's deadline passed.
	DeadlinePassed
	// CallerGone means that the caller disconnected or no longer needs this
	// attempt.
	CallerGone
	// failures is the number of failures.
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
