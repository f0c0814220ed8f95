package orders

import (
	"context"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/duty"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// shard is the work of one duty under one authority.
type shard struct {
	manager   *EngineManager
	authority lease.Authority
	model     ident.Model
	planner   EnginePlanner
	journal   *journal
	holds     *holdKeeper
	running   sync.WaitGroup

	mu sync.Mutex
	// last is the newest record of each target.
	last map[ident.Target]Record
	// active are the targets whose orders are being carried out.
	active map[ident.Target]bool
	// wanted is what the planner asked for last.
	wanted map[ident.Target]target.Order
}

// newShard returns the work of a duty.
func newShard(m *EngineManager, authority lease.Authority) *shard {
	model, _ := duty.EnginesModel(authority.Duty())
	return &shard{
		manager: m, authority: authority, model: model, planner: m.opts.NewPlanner(model),
		journal: &journal{scribe: m.scribe, authority: authority},
		holds:   &holdKeeper{scribe: m.scribe, authority: authority},
		last:    make(map[ident.Target]Record),
		active:  make(map[ident.Target]bool),
	}
}

// run finishes the orders of earlier holders and carries out new ones until ctx
// ends. It returns once every order's goroutine has.
func (s *shard) run(ctx context.Context) error {
	defer s.running.Wait()
	if !s.load(ctx) {
		return ctx.Err()
	}
	s.resume(ctx)
	ticker := time.NewTicker(s.manager.opts.Terms.PlanEvery)
	defer ticker.Stop()
	sweeper := time.NewTicker(s.manager.opts.Terms.ReconcileEvery)
	defer sweeper.Stop()
	for {
		s.plan(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-sweeper.C:
			if err := s.holds.load(ctx); err == nil {
				s.sweep(ctx)
			}
		case <-ticker.C:
		}
	}
}

// load reads the journal and the holds, however long that takes, and reports
// whether it did before ctx ended.
func (s *shard) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		records, err := s.journal.load(ctx)
		if err == nil {
			err = s.holds.load(ctx)
		}
		if err == nil {
			for i := range records {
				s.last[records[i].Target] = records[i]
			}
			return true
		}
		s.manager.opts.Log.Info("journal not read yet", "duty", s.authority.Duty(), "error", err)
		wait(ctx, s.manager.opts.Terms.LookEvery)
	}
	return false
}

// resume takes up what earlier holders left open.
func (s *shard) resume(ctx context.Context) {
	for _, record := range s.left(Phase.Open) {
		s.start(ctx, record)
	}
	s.sweep(ctx)
}

// sweep takes up the orders that are closed but still hold their targets. A
// holder that was paused may also place a hold long after its order was closed.
func (s *shard) sweep(ctx context.Context) {
	for _, name := range s.holds.own() {
		if s.busy(name) {
			continue
		}
		record := s.lastOf(name)
		if record.Target == "" {
			record = Record{Target: name, Duty: s.authority.Duty(), Phase: PhaseAbandoned, Reason: "a hold without an order"}
		}
		s.start(ctx, record)
	}
}

// left returns the newest records whose phase is picked.
func (s *shard) left(pick func(Phase) bool) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []Record
	for _, record := range s.last {
		if pick(record.Phase) {
			records = append(records, record)
		}
	}
	return records
}

// busy reports whether a target's order is being carried out.
func (s *shard) busy(name ident.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active[name]
}

// plan asks the planner and begins what may begin.
func (s *shard) plan(ctx context.Context) {
	snapshot := ofModel(s.manager.opts.View.Snapshot(), s.model)
	list := s.planner.PlanEngines(snapshot, time.Now())
	wanted := make(map[ident.Target]target.Order, len(list))
	for _, w := range list {
		wanted[w.Target] = w.Order
	}
	s.mu.Lock()
	s.wanted = wanted
	s.mu.Unlock()
	for _, w := range list {
		if ctx.Err() == nil {
			s.admit(ctx, snapshot, w)
		}
	}
}

// admit begins one wanted order if the target and the gate are free.
func (s *shard) admit(ctx context.Context, snapshot *fleet.Snapshot, w Wanted) {
	state := snapshot.Target(w.Target)
	if state == nil || state.Record.Leaving {
		return
	}
	open := s.open()
	if s.busy(w.Target) || len(open) >= s.manager.opts.Terms.Concurrency || !gate(open, state.Record, w.Order.Kind) {
		return
	}
	if repeats(s.lastOf(w.Target), w.Order, state, time.Now()) {
		return
	}
	record := newRecord(s.lastOf(w.Target), state.Record, w.Order, s.manager.opts.NewID())
	record.WrittenAt = time.Now()
	written, err := s.journal.write(ctx, record)
	if err != nil {
		s.manager.opts.Log.Info("order not journalled", "target", w.Target, "error", err)
		s.refresh(ctx, w.Target)
		return
	}
	s.start(ctx, written)
}

// refresh reads a target's record again after a failed write, and takes up an
// order that stands open there.
func (s *shard) refresh(ctx context.Context, name ident.Target) {
	record, err := s.journal.reload(ctx, name)
	if err != nil {
		return
	}
	s.keep(record)
	if record.Phase.Open() {
		s.start(ctx, record)
	}
}

// start carries an order out beside the others.
func (s *shard) start(ctx context.Context, record Record) {
	m := s.manager
	s.mu.Lock()
	s.last[record.Target] = record
	s.active[record.Target] = true
	s.mu.Unlock()
	e := &execution{
		opts: &m.opts, authority: s.authority, journal: s.journal, holds: s.holds, sends: s.sends(),
		metrics: m.metrics, superseded: s.superseded, record: record,
		state:   func(r Record) { m.state(s.journal, r) },
		publish: func(r Record, d Decision) { s.keep(r); m.publish(r, d) },
	}
	m.metrics.open.Inc()
	s.running.Go(func() {
		defer m.metrics.open.Dec()
		e.run(ctx)
		s.finish(e.record)
	})
}

// sends returns the process's log of sendings.
func (s *shard) sends() *sendLog { return s.manager.sends }

// finish notes that a target's order is no longer carried out.
func (s *shard) finish(record Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[record.Target] = record
	delete(s.active, record.Target)
}

// keep notes a target's newest record.
func (s *shard) keep(record Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[record.Target] = record
}

// lastOf returns a target's newest record.
func (s *shard) lastOf(name ident.Target) Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[name]
}

// open returns the records whose orders are being carried out.
func (s *shard) open() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []Record
	for name := range s.active {
		open = append(open, s.last[name])
	}
	return open
}

// superseded reports whether the planner wants another order for the target.
func (s *shard) superseded(record Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	order, ok := s.wanted[record.Target]
	return ok && !sameContent(order, record.Order)
}

// ofModel returns the part of a snapshot that has the engines of a model.
func ofModel(snapshot *fleet.Snapshot, model ident.Model) *fleet.Snapshot {
	var engines []fleet.TargetState
	for _, i := range snapshot.Model(model) {
		engines = append(engines, snapshot.Targets[i])
	}
	return fleet.NewSnapshot(engines)
}

// wait waits, or returns early when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
