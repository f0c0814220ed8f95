package orders

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// EngineManager carries out the orders to engines for the duties that the
// process holds. One serves all of them.
type EngineManager struct {
	opts    EngineOptions
	scribe  *scribe
	sends   *sendLog
	metrics *metrics

	mu     sync.Mutex
	status map[ident.Target]OrderStatus
}

// NewEngineManager returns a manager without orders.
func NewEngineManager(opts EngineOptions) *EngineManager {
	self := lease.Writer{Host: opts.Host, Incarnation: opts.Incarnation}
	return &EngineManager{
		opts:    opts,
		scribe:  &scribe{store: opts.Store, self: self, timeout: opts.Terms.CallTimeout},
		sends:   newSendLog(),
		metrics: newMetrics(opts.Registerer),
		status:  make(map[ident.Target]OrderStatus),
	}
}

var _ lease.Work = (*EngineManager)(nil).Work

// Work carries out the orders of one duty while it is held.
func (m *EngineManager) Work(ctx context.Context, authority lease.Authority) error {
	shard := newShard(m, authority)
	defer m.drop(authority.Duty())
	return shard.run(ctx)
}

// Status returns the orders of the duties that the process holds, by target.
func (m *EngineManager) Status() []OrderStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]OrderStatus, 0, len(m.status))
	for _, status := range m.status {
		list = append(list, status)
	}
	slices.SortFunc(list, func(a, b OrderStatus) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// publish shows an order to operators.
func (m *EngineManager) publish(record Record, decision Decision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status[record.Target] = statusOf(record, decision)
}

// drop hides the orders of a duty that is no longer held.
func (m *EngineManager) drop(duty ident.Duty) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, status := range m.status {
		if status.Duty == duty {
			delete(m.status, name)
		}
	}
}
