package clock

import "time"

// Clock tells the time since some fixed moment. It never goes back and, unlike
// the runtime's monotonic clock, runs on while the machine is suspended.
type Clock interface {
	// Now returns the time since the clock's start.
	Now() time.Duration
}
