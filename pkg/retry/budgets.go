package retry

import "sync"

// Budgets holds retry budgets by name. Names come from the configuration, so
// their number is bounded.
type Budgets struct {
	mu    sync.Mutex
	named map[string]*Budget
}

// NewBudgets returns an empty set.
func NewBudgets() *Budgets { return &Budgets{named: make(map[string]*Budget)} }

// For returns the budget with the given name, and creates it or updates its
// ratio and limit.
func (b *Budgets) For(name string, ratio, limit float64) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.named[name]
	if budget == nil {
		budget = NewBudget(ratio, limit)
		b.named[name] = budget
		return budget
	}
	budget.Configure(ratio, limit)
	return budget
}
