package orders_test

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/duty"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/orders"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
)

// supplier is the platform's target ordering as one process reaches it.
type supplier struct{ node *node }

// Order places an order and checks what must hold of it.
func (s supplier) Order(_ context.Context, order external.TargetOrder) error {
	if !s.node.authorised(duty.Supply) {
		s.node.world.violate("%s ordered without authority", order.OrderID)
	}
	s.node.stallAt(stallSend)
	if err := s.node.process.Enter(faultstore.SidePlatform); err != nil {
		return err
	}
	err := s.node.world.place(order)
	if lost := s.node.process.Leave(faultstore.SidePlatform); lost != nil {
		return lost
	}
	return err
}

// place keeps an order and checks it against the earlier ones.
func (w *world) place(order external.TargetOrder) error {
	group := orders.SupplyGroup{Model: order.Model, FailureDomain: order.FailureDomain, Kind: order.Kind}
	w.mu.Lock()
	last := w.placed[group]
	count, known := w.contents[order.OrderID]
	refused := order.Fencing < last.Fencing && !w.broken.fencing
	if !refused {
		w.placed[group] = order
		w.contents[order.OrderID] = order.Wanted
	}
	w.mu.Unlock()
	switch {
	case refused:
		return fault.New(fault.Fenced, "old number", "")
	case known && count != order.Wanted:
		w.violate("%s with other content", order.OrderID)
	case order.OrderID < last.OrderID:
		w.violate("conflicting target orders: %s after %s", order.OrderID, last.OrderID)
	}
	return nil
}

// Orders returns the newest orders.
func (s supplier) Orders(context.Context) ([]external.TargetOrder, error) {
	s.node.world.mu.Lock()
	defer s.node.world.mu.Unlock()
	var list []external.TargetOrder
	for _, order := range s.node.world.placed {
		list = append(list, order)
	}
	return list, nil
}

// Targets returns nothing; the world's view has the targets.
func (s supplier) Targets(context.Context) ([]external.TargetRecord, error) { return nil, nil }

// PlanSupply implements orders.SupplyPlanner.
func (w *world) PlanSupply(*fleet.Snapshot, time.Time) []external.TargetOrder {
	w.mu.Lock()
	defer w.mu.Unlock()
	return []external.TargetOrder{
		{FailureDomain: domainOf(0), Model: model, Kind: external.Dependable, Wanted: w.count},
		{FailureDomain: domainOf(1), Model: model, Kind: external.Reclaimable, Wanted: w.count},
	}
}

// order sets the count that the planner wants.
func (w *world) order(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count = count
}

// placedCounts returns the counts that the platform was last asked for.
func (w *world) placedCounts() []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	var counts []int
	for _, order := range w.placed {
		counts = append(counts, order.Wanted)
	}
	return counts
}
