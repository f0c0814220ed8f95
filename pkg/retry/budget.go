package retry

import (
	"sync"
	"time"
)

// Budget limits retries to a share of the requests. It is a token bucket: each
// request adds the share's ratio and each retry takes one.
type Budget struct {
	// observe is called after each withdrawal with whether it was granted. It may
	// be nil.
	observe func(granted bool)

	mu    sync.Mutex
	share Share
	// filled is set once the budget has been filled for the first time, and spent
	// counts the retries that were taken before.
	filled bool
	spent  float64
	// level is the number of retries left, between zero and the share's burst.
	level float64
	// recent holds the counts of the last window, at the time now of the newest request.
	recent recent
	now    time.Time
	// closedUntil is when a window has passed since the share's Burst rose to one or
	// fell below it. Until then nothing is granted, since the two ways of bounding
	// retries count different requests.
	closedUntil time.Time
}

// NewBudget returns a budget that is full if the share allows it at the given time,
// and empty otherwise.
func NewBudget(share Share, now time.Time) *Budget {
	b := &Budget{share: share}
	b.Configure(share, now)
	return b
}

// Configure replaces the share. It never adds retries, except that it fills the
// budget for the first time once the share allows it. Retries that were taken before
// are part of that first burst.
func (b *Budget) Configure(share Share, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if share.byRecent() != b.share.byRecent() {
		b.level, b.closedUntil = 0, now.Add(max(share.Window, b.share.Window))
	}
	b.share, b.now = share, now
	b.level = min(b.level, share.Burst)
	if share.byRecent() {
		b.recent.advance(now, share.Window)
		return
	}
	if !b.filled && !now.Before(share.FullAt) {
		b.filled, b.level = true, max(b.level, share.Burst-b.spent)
	}
}

// Deposit adds the share of one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.share.Burst, b.level+b.share.Ratio)
	b.recent.current().requests++
}

// Withdraw takes one retry. It reports false if less than one is left.
func (b *Budget) Withdraw() bool {
	granted := b.take()
	if b.observe != nil {
		b.observe(granted)
	}
	return granted
}

// take takes one retry if at least one is left.
func (b *Budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.now.Before(b.closedUntil) {
		return false
	}
	if b.share.byRecent() {
		return b.takeRecent()
	}
	if b.level < 1 {
		return false
	}
	b.level--
	if !b.filled {
		b.spent++
	}
	return true
}

// takeRecent takes one retry if the requests of the last window allow it. b.mu must be
// held.
func (b *Budget) takeRecent() bool {
	if !b.recent.allows(b.share.Ratio / 2) {
		return false
	}
	b.recent.current().retries++
	return true
}
