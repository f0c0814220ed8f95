package retry

import "sync"

// Budget bounds the retries of some requests to a share of them. It is a
// bucket that each request fills by the share and each retry empties by one.
type Budget struct {
	mu sync.Mutex
	// ratio is the share of retries, limit the bucket's size, both in retries.
	ratio, limit float64
	// level is what is left, between zero and limit.
	level float64
}

// NewBudget returns a full budget. The limit is what may be retried in a row
// after a quiet time.
func NewBudget(ratio, limit float64) *Budget {
	return &Budget{ratio: ratio, limit: limit, level: limit}
}

// Configure sets the share and the limit anew.
func (b *Budget) Configure(ratio, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.limit = ratio, limit
	b.level = min(b.level, limit)
}

// Deposit counts one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.limit, b.level+b.ratio)
}

// Withdraw takes one retry, or reports that there is none.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
