package retry

import (
	"sync"
	"time"
)

// Budgets holds retry budgets by key. Keys are made from names in the
// configuration, so their number is bounded.
type Budgets struct {
	observe func(key string, granted bool)

	mu    sync.Mutex
	byKey map[string]*Budget
}

// NewBudgets returns an empty set. observe is called after each withdrawal with
// the budget's key and with whether the retry was granted. It may be nil.
func NewBudgets(observe func(key string, granted bool)) *Budgets {
	return &Budgets{observe: observe, byKey: make(map[string]*Budget)}
}

// For returns the budget with the given key, and creates it or updates its share.
func (b *Budgets) For(key string, share Share, now time.Time) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byKey[key]
	if budget == nil {
		budget = NewBudget(share, now)
		if b.observe != nil {
			budget.observe = func(granted bool) { b.observe(key, granted) }
		}
		b.byKey[key] = budget
		return budget
	}
	budget.Configure(share, now)
	return budget
}
