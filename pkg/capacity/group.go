package capacity

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// group holds the median over the targets that do the same work.
type group struct {
	mu sync.Mutex
	// values holds the last estimates of targets with samples.
	values map[uint32]float64
	cached float64
	// computedAt is when the median was computed.
	computedAt time.Time
}

// medianInterval is the least time between two computations of a median.
const medianInterval = 200 * time.Millisecond

// newGroup returns a group without targets.
func newGroup() *group { return &group{values: make(map[uint32]float64)} }

// set records the estimate of a target.
func (g *group) set(key uint32, value float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.values[key] = value
}

// drop removes the estimate of a target.
func (g *group) drop(key uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.values, key)
}

// median returns the median of the estimates, or zero before the first sample.
func (g *group) median(now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.medianLocked(now)
}

// medianLocked returns the median; g.mu must be held.
func (g *group) medianLocked(now time.Time) float64 {
	if len(g.values) == 0 {
		return 0
	}
	if now.Sub(g.computedAt) >= medianInterval || now.Before(g.computedAt) {
		sorted := slices.Sorted(maps.Values(g.values))
		g.cached, g.computedAt = sorted[len(sorted)/2], now
	}
	return g.cached
}

// spread returns the lowest and the highest estimate in relation to the median, as factors,
// or false if there is none.
func (g *group) spread(now time.Time) (lowest, highest float64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.values) == 0 {
		return 0, 0, false
	}
	median := g.medianLocked(now)
	lowest, highest = math.Inf(1), math.Inf(-1)
	for _, value := range g.values {
		lowest, highest = min(lowest, value), max(highest, value)
	}
	return math.Exp(lowest - median), math.Exp(highest - median), true
}
