package entry

import (
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// durations holds how long the answered requests of each route took at most of late.
// Routes come from the configuration, so their number is bounded.
type durations struct {
	mu      sync.Mutex
	longest map[ident.Route]time.Duration
}

// newDurations returns durations without any request.
func newDurations() *durations { return &durations{longest: make(map[ident.Route]time.Duration)} }

// forgetShare is the share of the excess over a shorter request by which each of those
// lowers the longest duration.
const forgetShare = 1.0 / 256

// observe records an answered request.
func (d *durations) observe(route ident.Route, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	longest := d.longest[route]
	if took < longest {
		took = longest - time.Duration(forgetShare*float64(longest-took))
	}
	d.longest[route] = took
}

// expected returns the longest recent duration of a route, or false if no request of it
// has been answered.
func (d *durations) expected(route ident.Route) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	longest, ok := d.longest[route]
	return longest, ok
}
