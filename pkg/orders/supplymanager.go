package orders

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"amaranthplank.example/amaranthplank/pkg/lease"
)

// SupplyManager orders targets from the platform while the process holds the
// supply duty.
type SupplyManager struct {
	opts   SupplyOptions
	writer *entryWriter

	mu     sync.Mutex
	status []SupplyStatus
}

// NewSupplyManager returns a manager without orders.
func NewSupplyManager(opts SupplyOptions) *SupplyManager {
	self := lease.Writer{Host: opts.Host, Incarnation: opts.Incarnation}
	return &SupplyManager{opts: opts, writer: &entryWriter{store: opts.Store, self: self, timeout: opts.Timing.CallTimeout}}
}

var _ lease.Work = (*SupplyManager)(nil).Work

// Work orders targets while the duty is held.
func (m *SupplyManager) Work(ctx context.Context, authority lease.Authority) error {
	defer m.setStatus(nil)
	return newSupplyWorker(m, authority).run(ctx)
}

// Status returns the target orders, sorted by group. It is empty while the
// process does not hold the duty.
func (m *SupplyManager) Status() []SupplyStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.status)
}

// setStatus replaces the status.
func (m *SupplyManager) setStatus(status []SupplyStatus) {
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
