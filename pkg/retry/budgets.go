package retry

import (
	"sync"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Budgets holds the budget of each route. Routes come from the configuration,
// so their count is bounded.
type Budgets struct {
	mu     sync.Mutex
	routes map[ident.Route]*Budget
}

// NewBudgets returns an empty set.
func NewBudgets() *Budgets { return &Budgets{routes: make(map[ident.Route]*Budget)} }

// Of returns a route's budget with the given share and limit in force.
func (b *Budgets) Of(route ident.Route, ratio, limit float64) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.routes[route]
	if budget == nil {
		budget = NewBudget(ratio, limit)
		b.routes[route] = budget
		return budget
	}
	budget.Configure(ratio, limit)
	return budget
}
