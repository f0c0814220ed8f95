package orders

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// supplyShard is the work of the supply duty under one authority. It belongs to
// one goroutine.
type supplyShard struct {
	manager   *SupplyManager
	authority lease.Authority
	journal   *supplyJournal
	planner   SupplyPlanner
	limiter   *rate.Limiter
	records   map[SupplyGroup]SupplyRecord
	why       map[SupplyGroup]string
	// loaded is cleared where the journal must be read anew.
	loaded bool
}

// newSupplyShard returns the work of the duty.
func newSupplyShard(m *SupplyManager, authority lease.Authority) *supplyShard {
	return &supplyShard{
		manager: m, authority: authority,
		journal: &supplyJournal{scribe: m.scribe, authority: authority},
		planner: m.opts.NewPlanner(),
		limiter: rate.NewLimiter(rate.Limit(m.opts.Terms.SupplyPerSecond), 1),
		why:     make(map[SupplyGroup]string),
	}
}

// run settles and begins orders until ctx ends.
func (s *supplyShard) run(ctx context.Context) error {
	terms := s.manager.opts.Terms
	reconciledAt := time.Now()
	for ctx.Err() == nil {
		if s.load(ctx) {
			s.round(ctx)
			if time.Since(reconciledAt) >= terms.ReconcileEvery {
				reconciledAt = time.Now()
				s.reconcile(ctx)
			}
		}
		s.publish()
		wait(ctx, terms.SupplyEvery)
	}
	return nil
}

// load reads the journal where that is due and reports whether it is known.
func (s *supplyShard) load(ctx context.Context) bool {
	if s.loaded {
		return true
	}
	records, err := s.journal.load(ctx)
	if err != nil {
		s.manager.opts.Log.Info("journal of target orders not read yet", "error", err)
		return false
	}
	s.records, s.loaded = records, true
	return true
}

// round goes through all groups once.
func (s *supplyShard) round(ctx context.Context) {
	plan := s.planner.PlanSupply(s.manager.opts.View.Snapshot(), time.Now())
	wanted := make(map[SupplyGroup]*external.TargetOrder, len(plan))
	for i := range plan {
		wanted[groupOf(plan[i])] = &plan[i]
	}
	for group := range s.records {
		if _, ok := wanted[group]; !ok {
			wanted[group] = nil
		}
	}
	for group, order := range wanted {
		err := s.settle(ctx, group, order)
		s.note(group, err)
		if fault.KindOf(err) == fault.Conflict {
			s.loaded = false
			return
		}
	}
}

// settle takes a group's steps until it has nothing more to do or one fails.
func (s *supplyShard) settle(ctx context.Context, group SupplyGroup, wanted *external.TargetOrder) error {
	for {
		if err := ctx.Err(); err != nil {
			return err
		}
		record := s.records[group]
		var err error
		switch SupplyNext(record, wanted, s.authority.Fencing()) {
		case SupplyNothing:
			return nil
		case SupplyClaim:
			record.Open = true
			err = s.write(ctx, group, record)
		case SupplyRepeat:
			err = s.send(ctx, group, record)
		case SupplyOrder:
			record.Order, record.Open = *wanted, true
			record.Order.OrderID = s.manager.opts.NewID()
			err = s.write(ctx, group, record)
		}
		if err != nil {
			return err
		}
	}
}

// send sends the journalled order and records that the platform has answered.
func (s *supplyShard) send(ctx context.Context, group SupplyGroup, record SupplyRecord) error {
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	// A planned stop waits for the answer.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.manager.opts.Terms.SendTimeout)
	defer cancel()
	if err := s.authority.Check(); err != nil {
		return err
	}
	if err := s.manager.opts.Platform.Order(ctx, record.Order); err != nil {
		return err
	}
	record.Open = false
	return s.write(ctx, group, record)
}

// write journals a group's record.
func (s *supplyShard) write(ctx context.Context, group SupplyGroup, record SupplyRecord) error {
	written, err := s.journal.write(ctx, record)
	if err == nil {
		s.records[group] = written
	}
	return err
}

// reconcile opens the orders anew of which the platform has something else.
func (s *supplyShard) reconcile(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.manager.opts.Terms.CallTimeout)
	defer cancel()
	list, err := s.manager.opts.Platform.Orders(ctx)
	if err != nil {
		return
	}
	standing := make(map[SupplyGroup]external.TargetOrder, len(list))
	for _, order := range list {
		standing[groupOf(order)] = order
	}
	for group, record := range s.records {
		if !record.Open && standing[group] != record.Order {
			record.Open = true
			s.records[group] = record
		}
	}
}

// note keeps what holds a group's order back.
func (s *supplyShard) note(group SupplyGroup, err error) {
	delete(s.why, group)
	if err != nil {
		s.why[group] = err.Error()
		s.manager.opts.Log.Info("target order not settled", "model", group.Model, "domain", group.FailureDomain, "error", err)
	}
}

// publish shows the orders to operators.
func (s *supplyShard) publish() {
	status := make([]SupplyStatus, 0, len(s.records))
	for group, record := range s.records {
		status = append(status, SupplyStatus{
			Order: record.Order, Holder: record.Writer.Host, Open: record.Open,
			Why: s.why[group], Since: record.WrittenAt,
		})
	}
	s.manager.show(status)
}
