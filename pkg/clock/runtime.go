package clock

import "time"

// Runtime is the Go runtime's monotonic clock. Tests with fake time use it, since
// testing/synctest fakes only this clock.
type Runtime struct {
	start time.Time
}

var _ Clock = Runtime{}

// NewRuntime returns a Runtime that starts now.
func NewRuntime() Runtime { return Runtime{start: time.Now()} }

// Now returns the time since NewRuntime.
func (r Runtime) Now() time.Duration { return time.Since(r.start) }
