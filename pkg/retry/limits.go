package retry

import "time"

// Limits bound the attempts of one request.
type Limits struct {
	// MaxAttempts bounds the attempts, the first one included.
	MaxAttempts int
	// MaxResumes bounds the resumes in a row that bring nothing new.
	MaxResumes int
	// Deadline is when the answer is of no more use.
	Deadline time.Time
	// LeastTime is the time that an attempt needs to be worth making.
	LeastTime time.Duration
}
