package clock

import "time"

// Clock is a monotonic clock. Daemons use Boot, which unlike the Go runtime's clock
// also advances while the host is suspended.
type Clock interface {
	// Now returns the time since the clock's start.
	Now() time.Duration
}
