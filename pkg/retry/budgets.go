package retry

import "sync"

// Budgets holds retry budgets by key. Keys are made from names in the
// configuration, so their number is bounded.
type Budgets struct {
	mu    sync.Mutex
	byKey map[string]*Budget
}

// NewBudgets returns an empty set.
func NewBudgets() *Budgets { return &Budgets{byKey: make(map[string]*Budget)} }

// For returns the budget with the given key, and creates it or updates its
// ratio and burst.
func (b *Budgets) For(key string, ratio, burst float64) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byKey[key]
	if budget == nil {
		budget = NewBudget(ratio, burst)
		b.byKey[key] = budget
		return budget
	}
	budget.Configure(ratio, burst)
	return budget
}
