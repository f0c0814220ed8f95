package entry

import (
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// durations holds how long the answered requests of each route took at most of late.
// Routes come from the configuration, so their number is bounded.
type durations struct {
	mu     sync.Mutex
	routes map[ident.Route]extremes
}

// extremes are the largest recent values of a route's answered requests.
type extremes struct {
	took time.Duration
	// tokens is how many tokens a request allowed its answer; zero if none stated it.
	tokens float64
}

// newDurations returns durations without any request.
func newDurations() *durations { return &durations{routes: make(map[ident.Route]extremes)} }

// forgetShare is the share of the excess over a smaller value by which each of those
// lowers the largest one.
const forgetShare = 1.0 / 256

// observe records an answered request, whose answer might have a number of tokens.
func (d *durations) observe(route ident.Route, took time.Duration, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.routes[route]
	d.routes[route] = extremes{
		took: time.Duration(largest(float64(known.took), float64(took))), tokens: largest(known.tokens, float64(tokens)),
	}
}

// largest returns the largest recent value after another one was observed.
func largest(known, observed float64) float64 {
	if observed >= known {
		return observed
	}
	return known - forgetShare*(known-observed)
}

// expected returns how long a request of a route may take whose answer may have a number of
// tokens: the longest recent duration, and in proportion longer for more tokens than a recent
// request allowed. It is false if no request of the route has been answered.
func (d *durations) expected(route ident.Route, tokens int) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.routes[route]
	if known.tokens > 0 && float64(tokens) > known.tokens {
		return time.Duration(float64(known.took) * float64(tokens) / known.tokens), ok
	}
	return known.took, ok
}
