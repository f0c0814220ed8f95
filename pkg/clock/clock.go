package clock

import "time"

// Clock is a monotonic clock. Unlike the Go runtime's, it also advances while the
// host is suspended.
type Clock interface {
	// Now returns the time since the clock's start.
	Now() time.Duration
}
