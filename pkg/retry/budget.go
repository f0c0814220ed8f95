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
}

// NewBudget returns a budget that is full if the share allows it at the given time,
// and empty otherwise.
func NewBudget(share Share, now time.Time) *Budget {
	b := &Budget{}
	b.Configure(share, now)
	return b
}

// Configure replaces the share. It never adds retries, except that it fills the
// budget for the first time once the share allows it. Retries that were taken before
// are part of that first burst.
func (b *Budget) Configure(share Share, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
	b.level = min(b.level, share.Burst)
	if !b.filled && !now.Before(share.FullAt) {
		b.filled, b.level = true, max(b.level, share.Burst-b.spent)
	}
}

// Deposit adds the share of one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.share.Burst, b.level+b.share.Ratio)
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
	if b.level < 1 {
		return false
	}
	b.level--
	if !b.filled {
		b.spent++
	}
	return true
}
