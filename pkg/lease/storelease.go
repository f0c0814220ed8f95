package lease

import (
	"sync"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
)

// storeLease is one lease in the store, from its grant to its end. The keys of all
// duties of the process are bound to the same lease. Once ended, it is never
// valid again.
type storeLease struct {
	id    external.LeaseID
	clock clock.Clock
	// store names the present era; era is the one in which the lease was granted.
	store external.Store
	era   external.Era

	// deadline is when the lease ends by clock unless it is renewed. It only
	// increases.
	deadline atomic.Int64
	endOnce  sync.Once
	// ended is closed by end.
	ended chan struct{}

	// renewMu allows one renewal at a time and guards nextRenewal.
	renewMu     sync.Mutex
	nextRenewal time.Duration
}

// newStoreLease returns a lease of an era of the store that is valid until the deadline.
func newStoreLease(id external.LeaseID, store external.Store, era external.Era, clk clock.Clock, deadline, nextRenewal time.Duration) *storeLease {
	lease := &storeLease{id: id, store: store, era: era, clock: clk, ended: make(chan struct{}), nextRenewal: nextRenewal}
	lease.deadline.Store(int64(deadline))
	return lease
}

// remaining returns the time until the deadline. It is zero or negative once the
// lease is over, also because the store came back from an older copy.
func (lease *storeLease) remaining() time.Duration {
	select {
	case <-lease.ended:
		return 0
	default:
	}
	if lease.outdated() {
		return 0
	}
	return lease.untilDeadline()
}

// outdated reports whether the store has come back from an older copy since the lease
// was granted.
func (lease *storeLease) outdated() bool {
	era, _ := external.EraOf(lease.store)
	return era != lease.era
}

// untilDeadline returns the time until the deadline.
func (lease *storeLease) untilDeadline() time.Duration {
	return time.Duration(lease.deadline.Load()) - lease.clock.Now()
}

// extend moves the deadline to a later time; an earlier one has no effect.
func (lease *storeLease) extend(deadline time.Duration) {
	for {
		old := lease.deadline.Load()
		if int64(deadline) <= old || lease.deadline.CompareAndSwap(old, int64(deadline)) {
			return
		}
	}
}

// end ends the lease permanently.
func (lease *storeLease) end() { lease.endOnce.Do(func() { close(lease.ended) }) }
