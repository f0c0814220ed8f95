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

// engineWorker plans and carries out the orders to one model's engines under one
// authority.
type engineWorker struct {
	manager   *EngineManager
	authority lease.Authority
	model     ident.Model
	planner   EnginePlanner
	journal   *journal
	holds     *holdKeeper
	running   sync.WaitGroup

	mu sync.Mutex
	// records has the newest record of each target.
	records map[ident.Target]Record
	// active has the targets whose orders are being carried out.
	active map[ident.Target]bool
	// planned has the orders that the planner requested last.
	planned map[ident.Target]target.Order
}

// newEngineWorker returns a worker for the duty that the authority is for.
func newEngineWorker(m *EngineManager, authority lease.Authority) *engineWorker {
	model, _ := duty.EnginesModel(authority.Duty())
	return &engineWorker{
		manager: m, authority: authority, model: model, planner: m.opts.NewPlanner(model),
		journal: &journal{writer: m.writer, authority: authority},
		holds:   &holdKeeper{writer: m.writer, authority: authority},
		records: make(map[ident.Target]Record),
		active:  make(map[ident.Target]bool),
	}
}

// run finishes the orders of earlier holders and carries out new ones until ctx
// ends. It returns once the goroutines of all orders have ended.
func (w *engineWorker) run(ctx context.Context) error {
	defer w.running.Wait()
	if !w.load(ctx) {
		return ctx.Err()
	}
	w.resume(ctx)
	ticker := time.NewTicker(w.manager.opts.Timing.PlanInterval)
	defer ticker.Stop()
	reconciler := time.NewTicker(w.manager.opts.Timing.ReconcileInterval)
	defer reconciler.Stop()
	for {
		w.plan(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-reconciler.C:
			if err := w.holds.load(ctx); err == nil {
				w.resumeHeld(ctx)
			}
		case <-ticker.C:
		}
	}
}

// load reads the journal and the holds, and retries until it succeeds or ctx
// ends. It reports whether it succeeded.
func (w *engineWorker) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		records, err := w.journal.load(ctx)
		if err == nil {
			err = w.holds.load(ctx)
		}
		if err == nil {
			for i := range records {
				w.records[records[i].Target] = records[i]
			}
			return true
		}
		w.manager.opts.Log.Info("failed to read the engine order journal or the holds, retrying", "duty", w.authority.Duty(), "error", err)
		sleep(ctx, w.manager.opts.Timing.PollInterval)
	}
	return false
}

// resume continues the orders that earlier holders left open.
func (w *engineWorker) resume(ctx context.Context) {
	for _, record := range w.recordsIn(Phase.Open) {
		w.start(ctx, record)
	}
	w.resumeHeld(ctx)
}

// resumeHeld resumes closed orders whose targets still have a hold of this duty,
// so that the hold is released. It is repeated, since an earlier holder that was
// paused may place a hold long after its order was closed.
func (w *engineWorker) resumeHeld(ctx context.Context) {
	for _, name := range w.holds.ownTargets() {
		if w.busy(name) {
			continue
		}
		record := w.recordOf(name)
		if record.Target == "" {
			record = Record{Target: name, Duty: w.authority.Duty(), Phase: PhaseAbandoned, Reason: "a hold without an order"}
		}
		w.start(ctx, record)
	}
}

// recordsIn returns the newest records whose phase matches.
func (w *engineWorker) recordsIn(match func(Phase) bool) []Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	var records []Record
	for _, record := range w.records {
		if match(record.Phase) {
			records = append(records, record)
		}
	}
	return records
}

// busy reports whether a target's order is being carried out.
func (w *engineWorker) busy(name ident.Target) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.active[name]
}

// plan calls the planner and starts the orders that may start.
func (w *engineWorker) plan(ctx context.Context) {
	snapshot := filterModel(w.manager.opts.View.Snapshot(), w.model)
	list := w.planner.PlanEngines(snapshot, time.Now())
	wanted := make(map[ident.Target]target.Order, len(list))
	for _, item := range list {
		wanted[item.Target] = item.Order
	}
	w.mu.Lock()
	w.planned = wanted
	w.mu.Unlock()
	for _, item := range list {
		if ctx.Err() == nil {
			w.tryStart(ctx, snapshot, item)
		}
	}
}

// tryStart starts one planned order if the target has no active order, the limits
// of open orders allow it and it does not repeat a completed one.
func (w *engineWorker) tryStart(ctx context.Context, snapshot *fleet.Snapshot, item PlannedOrder) {
	state := snapshot.Target(item.Target)
	if state == nil || state.Record.Leaving {
		return
	}
	open := w.openRecords()
	if w.busy(item.Target) || len(open) >= w.manager.opts.Timing.Concurrency || !mayStart(open, state.Record, item.Order.Kind) {
		return
	}
	if isStaleRepeat(w.recordOf(item.Target), item.Order, state, time.Now()) {
		return
	}
	record := newRecord(w.recordOf(item.Target), state.Record, item.Order, w.manager.opts.NewID())
	record.WrittenAt = time.Now()
	written, err := w.journal.write(ctx, record)
	if err != nil {
		w.manager.opts.Log.Info("failed to journal engine order", "target", item.Target, "error", err)
		w.refresh(ctx, item.Target)
		return
	}
	w.start(ctx, written)
}

// refresh reads a target's record again after a failed write, and carries out the
// order there if it is open.
func (w *engineWorker) refresh(ctx context.Context, name ident.Target) {
	record, err := w.journal.reload(ctx, name)
	if err != nil {
		return
	}
	w.setRecord(record)
	if record.Phase.Open() {
		w.start(ctx, record)
	}
}

// start starts a goroutine that carries out an order.
func (w *engineWorker) start(ctx context.Context, record Record) {
	m := w.manager
	w.mu.Lock()
	w.records[record.Target] = record
	w.active[record.Target] = true
	w.mu.Unlock()
	e := &execution{
		opts: &m.opts, authority: w.authority, journal: w.journal, holds: w.holds, sends: w.sends(),
		metrics: m.metrics, superseded: w.superseded, record: record,
		queueOutcome: func(r Record) { m.queueOutcome(w.journal, r) },
		publish:      func(r Record, d Decision) { w.setRecord(r); m.publish(r, d) },
	}
	m.metrics.open.Inc()
	w.running.Go(func() {
		defer m.metrics.open.Dec()
		e.run(ctx)
		w.finish(e.record)
	})
}

// sends returns the process's log of sends.
func (w *engineWorker) sends() *sendLog { return w.manager.sends }

// finish stores a target's newest record and marks the target as not active.
func (w *engineWorker) finish(record Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records[record.Target] = record
	delete(w.active, record.Target)
}

// setRecord stores a target's newest record.
func (w *engineWorker) setRecord(record Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records[record.Target] = record
}

// recordOf returns a target's newest record.
func (w *engineWorker) recordOf(name ident.Target) Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.records[name]
}

// openRecords returns the records of the orders that are being carried out.
func (w *engineWorker) openRecords() []Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	var open []Record
	for name := range w.active {
		open = append(open, w.records[name])
	}
	return open
}

// superseded reports whether the planner requests another order for the target.
func (w *engineWorker) superseded(record Record) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	order, ok := w.planned[record.Target]
	return ok && !sameContent(order, record.Order)
}

// filterModel returns a snapshot with only the engines of a model.
func filterModel(snapshot *fleet.Snapshot, model ident.Model) *fleet.Snapshot {
	var engines []fleet.TargetState
	for _, i := range snapshot.Model(model) {
		engines = append(engines, snapshot.Targets[i])
	}
	return fleet.NewSnapshot(engines)
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
