package orders

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"

	"amaranthplank.example/amaranthplank/pkg/fault"
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
	// statements are still to be written, by target.
	statements map[ident.Target]pending
}

// pending is one statement about an own sending.
type pending struct {
	journal *journal
	record  Record
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

		statements: make(map[ident.Target]pending),
	}
}

var _ lease.Work = (*EngineManager)(nil).Work

// Work carries out the orders of one duty while it is held.
func (m *EngineManager) Work(ctx context.Context, authority lease.Authority) error {
	shard := newShard(m, authority)
	defer m.drop(authority.Duty())
	return shard.run(ctx)
}

// Run writes what the process states of its own sendings, until ctx ends. It
// runs beside the duties, also while the process holds none.
func (m *EngineManager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait(ctx, m.opts.Terms.StateEvery)
		for name, p := range m.due() {
			err := p.journal.state(ctx, p.record)
			if err == nil || fault.KindOf(err) == fault.Conflict {
				m.stated(name, p.record)
			}
		}
	}
	return nil
}

// state queues a statement.
func (m *EngineManager) state(j *journal, record Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.statements[record.Target] = pending{journal: j, record: record}
}

// due returns the queued statements.
func (m *EngineManager) due() map[ident.Target]pending {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.statements)
}

// stated drops a statement unless a newer one took its place.
func (m *EngineManager) stated(name ident.Target, record Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.statements[name].record.Sender == record.Sender {
		delete(m.statements, name)
	}
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
