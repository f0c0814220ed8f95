package orders

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"amaranthplank.example/amaranthplank/pkg/lease"
)

// SupplyManager orders targets from the platform while the process holds the
// duty.
type SupplyManager struct {
	opts   SupplyOptions
	scribe *scribe

	mu     sync.Mutex
	status []SupplyStatus
}

// NewSupplyManager returns a manager without orders.
func NewSupplyManager(opts SupplyOptions) *SupplyManager {
	self := lease.Writer{Host: opts.Host, Incarnation: opts.Incarnation}
	return &SupplyManager{opts: opts, scribe: &scribe{store: opts.Store, self: self, timeout: opts.Terms.CallTimeout}}
}

var _ lease.Work = (*SupplyManager)(nil).Work

// Work orders targets while the duty is held.
func (m *SupplyManager) Work(ctx context.Context, authority lease.Authority) error {
	defer m.show(nil)
	return newSupplyShard(m, authority).run(ctx)
}

// Status returns the target orders, by group, where the process holds the duty.
func (m *SupplyManager) Status() []SupplyStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.status)
}

// show replaces the status.
func (m *SupplyManager) show(status []SupplyStatus) {
	slices.SortFunc(status, func(a, b SupplyStatus) int {
		return cmp.Or(
			cmp.Compare(a.Order.FailureDomain, b.Order.FailureDomain),
			cmp.Compare(a.Order.Model, b.Order.Model),
			cmp.Compare(a.Order.Kind, b.Order.Kind),
		)
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status = status
}
