package tally

import (
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Window is the number of a window, counted from the Unix epoch.
type Window int64

// Counts holds the number of requests by workspace.
type Counts map[ident.Workspace]uint64

// add adds other counts.
func (c Counts) add(other Counts) {
	for workspace, n := range other {
		c[workspace] += n
	}
}

// SteadyWallClock is a wall clock that does not follow steps of the system's time of day:
// it adds the time of a monotonic clock to the time of day at its start. Only a
// TimeCorrector shifts it.
type SteadyWallClock struct {
	clock clock.Clock
	// zero is the time of day at the clock's zero, in Unix nanoseconds.
	zero atomic.Int64
}

// NewSteadyWallClock returns a clock that starts from the system's time of day.
func NewSteadyWallClock(c clock.Clock) *SteadyWallClock {
	t := &SteadyWallClock{clock: c}
	t.zero.Store(time.Now().UnixNano() - int64(c.Now()))
	return t
}

// Now returns the time of day.
func (t *SteadyWallClock) Now() time.Time { return time.Unix(0, t.zero.Load()+int64(t.clock.Now())) }

// shift corrects the time of day.
func (t *SteadyWallClock) shift(by time.Duration) { t.zero.Add(int64(by)) }

// windowOf returns the window that contains a time.
func windowOf(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// end returns the end of a window.
func (w Window) end(length time.Duration) time.Time {
	return time.Unix(0, int64(w+1)*int64(length))
}
