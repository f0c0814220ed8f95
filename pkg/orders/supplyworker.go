package orders

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// supplyWorker plans and sends the target orders under one authority. Only one
// goroutine uses it.
type supplyWorker struct {
	manager    *SupplyManager
	authority  lease.Authority
	journal    *supplyJournal
	planner    SupplyPlanner
	limiter    *rate.Limiter
	records    map[SupplyGroup]SupplyRecord
	lastErrors map[SupplyGroup]string
	// loaded is cleared when the journal must be read again.
	loaded bool
}

// newSupplyWorker returns a worker for one term of the supply duty.
func newSupplyWorker(m *SupplyManager, authority lease.Authority) *supplyWorker {
	return &supplyWorker{
		manager: m, authority: authority,
		journal:    &supplyJournal{writer: m.writer, authority: authority},
		planner:    m.opts.NewPlanner(),
		limiter:    rate.NewLimiter(rate.Limit(m.opts.Timing.SupplyPerSecond), 1),
		lastErrors: make(map[SupplyGroup]string),
	}
}

// run finishes open orders and starts new ones until ctx ends.
func (w *supplyWorker) run(ctx context.Context) error {
	timing := w.manager.opts.Timing
	reconciledAt := time.Now()
	for ctx.Err() == nil {
		if w.load(ctx) {
			w.processGroups(ctx)
			if time.Since(reconciledAt) >= timing.ReconcileInterval {
				reconciledAt = time.Now()
				w.reconcile(ctx)
			}
		}
		w.publish()
		sleep(ctx, timing.SupplyInterval)
	}
	return nil
}

// load reads the journal unless it is loaded, and reports whether it is loaded.
func (w *supplyWorker) load(ctx context.Context) bool {
	if w.loaded {
		return true
	}
	records, err := w.journal.load(ctx)
	if err != nil {
		w.manager.opts.Log.Info("failed to read the supply order journal, retrying", "error", err)
		return false
	}
	w.records, w.loaded = records, true
	return true
}

// processGroups plans and processes all groups once.
func (w *supplyWorker) processGroups(ctx context.Context) {
	plan := w.planner.PlanSupply(w.manager.opts.View.Snapshot(), time.Now())
	wanted := make(map[SupplyGroup]*external.TargetOrder, len(plan))
	for i := range plan {
		wanted[groupOf(plan[i])] = &plan[i]
	}
	for group := range w.records {
		if _, ok := wanted[group]; !ok {
			wanted[group] = nil
		}
	}
	for group, order := range wanted {
		err := w.processGroup(ctx, group, order)
		w.noteError(group, err)
		if fault.KindOf(err) == fault.Conflict {
			w.loaded = false
			return
		}
	}
}

// processGroup takes the steps of a group until none is left or one fails.
func (w *supplyWorker) processGroup(ctx context.Context, group SupplyGroup, wanted *external.TargetOrder) error {
	for {
		if err := ctx.Err(); err != nil {
			return err
		}
		record := w.records[group]
		var err error
		switch SupplyNext(record, wanted, w.authority.Fencing()) {
		case SupplyNothing:
			return nil
		case SupplyClaim:
			record.Open = true
			err = w.write(ctx, group, record)
		case SupplyRepeat:
			err = w.send(ctx, group, record)
		case SupplyOrder:
			record.Order, record.Open = *wanted, true
			record.Order.OrderID = w.manager.opts.NewID()
			err = w.write(ctx, group, record)
		}
		if err != nil {
			return err
		}
	}
}

// send sends the journaled order and closes it once the platform has accepted it.
func (w *supplyWorker) send(ctx context.Context, group SupplyGroup, record SupplyRecord) error {
	if err := w.limiter.Wait(ctx); err != nil {
		return err
	}
	// A graceful shutdown waits for the response.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.manager.opts.Timing.SendTimeout)
	defer cancel()
	if err := w.authority.Check(); err != nil {
		return err
	}
	if err := w.manager.opts.Platform.Order(ctx, record.Order); err != nil {
		return err
	}
	record.Open = false
	return w.write(ctx, group, record)
}

// write journals a group's record.
func (w *supplyWorker) write(ctx context.Context, group SupplyGroup, record SupplyRecord) error {
	written, err := w.journal.write(ctx, record)
	if err == nil {
		w.records[group] = written
	}
	return err
}

// reconcile reopens the orders that differ from those that the platform has.
func (w *supplyWorker) reconcile(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.manager.opts.Timing.CallTimeout)
	defer cancel()
	list, err := w.manager.opts.Platform.Orders(ctx)
	if err != nil {
		return
	}
	platformOrders := make(map[SupplyGroup]external.TargetOrder, len(list))
	for _, order := range list {
		platformOrders[groupOf(order)] = order
	}
	for group, record := range w.records {
		if !record.Open && platformOrders[group] != record.Order {
			record.Open = true
			w.records[group] = record
		}
	}
}

// noteError sets or clears the reason why a group's order is not finished.
func (w *supplyWorker) noteError(group SupplyGroup, err error) {
	delete(w.lastErrors, group)
	if err != nil {
		w.lastErrors[group] = err.Error()
		w.manager.opts.Log.Info("failed to process supply order", "model", group.Model, "domain", group.FailureDomain, "error", err)
	}
}

// publish updates the status of the orders for operators.
func (w *supplyWorker) publish() {
	status := make([]SupplyStatus, 0, len(w.records))
	for group, record := range w.records {
		status = append(status, SupplyStatus{
			Order: record.Order, Holder: record.Writer.Host, Open: record.Open,
			Why: w.lastErrors[group], Since: record.WrittenAt,
		})
	}
	w.manager.setStatus(status)
}
