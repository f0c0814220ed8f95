package lease

import (
	"sync"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
)

// tenure is one lease of the store, from its grant to its end. All duties of
// the process are bound to the same one. Once ended it never lives again.
type tenure struct {
	id    external.LeaseID
	clock clock.Clock

	// deadline is when the tenure ends unless it is renewed, on clock. It
	// only rises.
	deadline atomic.Int64
	endOnce  sync.Once
	// ended is closed at the end.
	ended chan struct{}

	// renewing lets one renewal run at a time and guards nextRenewal.
	renewing    sync.Mutex
	nextRenewal time.Duration
}

// newTenure returns a tenure that lives until the deadline.
func newTenure(id external.LeaseID, clk clock.Clock, deadline, nextRenewal time.Duration) *tenure {
	t := &tenure{id: id, clock: clk, ended: make(chan struct{}), nextRenewal: nextRenewal}
	t.deadline.Store(int64(deadline))
	return t
}

// left returns the time until the deadline; it is not positive once the tenure
// is over.
func (t *tenure) left() time.Duration {
	select {
	case <-t.ended:
		return 0
	default:
		return time.Duration(t.deadline.Load()) - t.clock.Now()
	}
}

// extend moves the deadline on.
func (t *tenure) extend(deadline time.Duration) {
	for {
		old := t.deadline.Load()
		if int64(deadline) <= old || t.deadline.CompareAndSwap(old, int64(deadline)) {
			return
		}
	}
}

// end ends the tenure for good.
func (t *tenure) end() { t.endOnce.Do(func() { close(t.ended) }) }
