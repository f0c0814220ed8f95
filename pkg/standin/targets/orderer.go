package targets

import (
	"context"
	"slices"
	"strings"
	"sync"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Orderer stores orders and a list of targets. Orders create targets once
// SetArrivals is called; otherwise the list is the one given to New or SetTargets.
type Orderer struct {
	mu      sync.Mutex
	records []external.TargetRecord
	orders  map[group]external.TargetOrder
	// fencing is the highest fencing token of an accepted order, over all
	// groups.
	fencing  ident.FencingToken
	arrivals Arrivals
	pending  []arrival
	number   int
	// unavailable marks the failure domains in which no reclaimable targets are
	// available.
	unavailable map[ident.FailureDomain]bool
}

var _ external.TargetOrderer = (*Orderer)(nil)

// group identifies the set of targets that one order applies to.
type group struct {
	domain ident.FailureDomain
	model  ident.Model
	kind   external.TargetKind
}

// New returns an orderer that lists the given targets.
func New(records ...external.TargetRecord) *Orderer {
	return &Orderer{
		records: records, orders: make(map[group]external.TargetOrder),
		unavailable: make(map[ident.FailureDomain]bool),
	}
}

// Order accepts an order, or fails with kind Fenced if a higher fencing token
// has been seen.
func (o *Orderer) Order(_ context.Context, order external.TargetOrder) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if order.Fencing < o.fencing {
		return fault.New(fault.Fenced, "the platform has seen an order with a higher fencing token", "another host holds the duty; no action is needed unless this repeats")
	}
	o.fencing = order.Fencing
	o.advance()
	o.orders[orderGroup(order)] = order
	o.reconcile(order)
	return nil
}

// Orders returns the latest order of each group, sorted by order ID.
func (o *Orderer) Orders(_ context.Context) ([]external.TargetOrder, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	orders := make([]external.TargetOrder, 0, len(o.orders))
	for _, order := range o.orders {
		orders = append(orders, order)
	}
	slices.SortFunc(orders, func(a, b external.TargetOrder) int {
		return strings.Compare(a.OrderID, b.OrderID)
	})
	return orders, nil
}

// Targets returns the list of targets.
func (o *Orderer) Targets(_ context.Context) ([]external.TargetRecord, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.advance()
	return slices.Clone(o.records), nil
}

// SetTargets replaces the list of targets. Pending arrivals stay.
func (o *Orderer) SetTargets(records []external.TargetRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records = slices.Clone(records)
}
