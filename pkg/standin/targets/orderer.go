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

// Orderer keeps orders and a list of targets that its owner sets.
type Orderer struct {
	mu      sync.Mutex
	records []external.TargetRecord
	orders  map[group]external.TargetOrder
	// fencing is the highest number seen in any order.
	fencing  ident.Fencing
	arrivals Arrivals
	coming   []arrival
	number   int
	// unavailable are the failure domains without reclaimable targets.
	unavailable map[ident.FailureDomain]bool
}

var _ external.TargetOrderer = (*Orderer)(nil)

// group is what one order speaks of.
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

// Order takes an order, or refuses an old holder's.
func (o *Orderer) Order(_ context.Context, order external.TargetOrder) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if order.Fencing < o.fencing {
		return fault.New(fault.Fenced, "a later holder has ordered", "stop ordering")
	}
	o.fencing = order.Fencing
	o.advance()
	o.orders[groupOf(order)] = order
	o.supply(order)
	return nil
}

// Orders returns the newest order of each group.
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

// SetTargets replaces the list of targets.
func (o *Orderer) SetTargets(records []external.TargetRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records = slices.Clone(records)
}
