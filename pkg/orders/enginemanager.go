package orders

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// EngineManager carries out the orders to engines for all duties that the
// process holds.
type EngineManager struct {
	opts    EngineOptions
	writer  *entryWriter
	sends   *sendLog
	metrics *metrics

	mu     sync.Mutex
	status map[ident.Target]OrderStatus
	// outcomes are the send outcomes that are not in the journal yet, by target.
	outcomes map[ident.Target]pendingOutcome
}

// pendingOutcome is the outcome of one of this process's own sends, to be written
// to the journal.
type pendingOutcome struct {
	journal *journal
	record  Record
}

// NewEngineManager returns a manager without orders.
func NewEngineManager(opts EngineOptions) *EngineManager {
	self := lease.Writer{Host: opts.Host, Incarnation: opts.Incarnation}
	return &EngineManager{
		opts:    opts,
		writer:  &entryWriter{store: opts.Store, self: self, timeout: opts.Timing.CallTimeout},
		sends:   newSendLog(),
		metrics: newMetrics(opts.Registerer),
		status:  make(map[ident.Target]OrderStatus),

		outcomes: make(map[ident.Target]pendingOutcome),
	}
}

var _ lease.Work = (*EngineManager)(nil).Work

// Work carries out the orders of one duty while it is held.
func (m *EngineManager) Work(ctx context.Context, authority lease.Authority) error {
	worker := newEngineWorker(m, authority)
	defer m.hideDuty(authority.Duty())
	return worker.run(ctx)
}

// Run writes the outcomes of the process's own sends to the journal until ctx
// ends. It runs whether or not the process holds a duty.
func (m *EngineManager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, m.opts.Timing.OutcomeInterval)
		for name, p := range m.queuedOutcomes() {
			if p.journal.writeOutcome(ctx, p.record) {
				m.removeOutcome(name, p.record)
			}
		}
	}
	return nil
}

// queueOutcome queues a send outcome for Run to write.
func (m *EngineManager) queueOutcome(j *journal, record Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outcomes[record.Target] = pendingOutcome{journal: j, record: record}
}

// queuedOutcomes returns a copy of the queued outcomes.
func (m *EngineManager) queuedOutcomes() map[ident.Target]pendingOutcome {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.outcomes)
}

// removeOutcome removes a target's queued outcome unless it is about another send.
func (m *EngineManager) removeOutcome(name ident.Target, record Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.outcomes[name].record.Sender == record.Sender {
		delete(m.outcomes, name)
	}
}

// Status returns the orders of the duties that the process holds, sorted by target.
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

// publish updates the status of an order that Status returns.
func (m *EngineManager) publish(record Record, decision Decision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status[record.Target] = statusOf(record, decision)
}

// hideDuty removes the orders of a duty from the status once it is no longer held.
func (m *EngineManager) hideDuty(duty ident.Duty) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, status := range m.status {
		if status.Duty == duty {
			delete(m.status, name)
		}
	}
}
