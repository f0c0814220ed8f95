package retry

import "sync"

// Budget limits retries to a share of the requests. It is a token bucket: each
// request adds ratio tokens and each retry takes one.
type Budget struct {
	// observe is called after each withdrawal with whether it was granted. It may
	// be nil.
	observe func(granted bool)

	mu sync.Mutex
	// ratio is the number of retries that each request adds, burst the capacity
	// of the bucket.
	ratio, burst float64
	// level is the number of retries left, between zero and burst.
	level float64
}

// NewBudget returns a full budget. The burst is the number of retries that may
// follow each other directly after a period without retries.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, level: burst}
}

// Configure replaces the ratio and the burst.
func (b *Budget) Configure(ratio, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.burst = ratio, burst
	b.level = min(b.level, burst)
}

// Deposit adds the share of one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.burst, b.level+b.ratio)
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
	return true
}
