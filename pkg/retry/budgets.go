package retry

import "sync"

// Budgets holds budgets by name. Names come from the configuration, so their
// count is bounded.
type Budgets struct {
	mu    sync.Mutex
	named map[string]*Budget
}

// NewBudgets returns an empty set.
func NewBudgets() *Budgets { return &Budgets{named: make(map[string]*Budget)} }

// Of returns the budget of a name with the given share and limit in force.
func (b *Budgets) Of(name string, ratio, limit float64) *Budget {
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
