package retry

import "time"

// Limits bound the attempts of one request.
type Limits struct {
	// MaxAttempts bounds the attempts, including the first.
	MaxAttempts int
	// MaxResumes bounds consecutive resumes that make no progress.
	MaxResumes int
	// Deadline is when the answer becomes useless to the caller.
	Deadline time.Time
	// MinAttemptTime is how much time must be left before the deadline for
	// another attempt to be made.
	MinAttemptTime time.Duration
}
