package supplykeeper

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Domain is the state of a model's engines in one failure domain.
type Domain struct {
	Name ident.FailureDomain
	// Price is the price of a dependable engine there, relative to that in other
	// domains.
	Price float64
	Have  Counts
	Want  Counts
	// Most is how many of the desired reclaimable engines have been there at the same
	// time. Those beyond it that are missing may be on their way and are not lost.
	Most int
	// Replaces is the part of Want.Reclaimable that replaces engines lost in other
	// domains.
	Replaces int
	// Substitutes is the part of Want.Dependable that stands in for lost reclaimable
	// engines.
	Substitutes int
}

// retryDelay returns the time before a refused order is repeated.
func (d *Domain) retryDelay() time.Duration {
	if d.Replaces > 0 {
		return replacementRetryDelay
	}
	return retryDelay
}

// lostShare is the least share of a domain's reclaimable engines whose loss is made
// up for elsewhere. Fewer are replaced where they were.
const lostShare = 0.34

// lost returns how many reclaimable engines the domain has lost.
func (d *Domain) lost() int {
	missing := min(d.Most, d.Want.Reclaimable) - d.Have.Reclaimable
	if missing <= 0 || float64(missing) < lostShare*float64(d.Want.Reclaimable) {
		return 0
	}
	return missing
}

// DueOrder is an order that is due for one kind of engines in a domain.
type DueOrder struct {
	Kind  external.TargetKind
	Count int
}

// Due returns the orders that are due in the domain. Substitutes are ordered while the
// reclaimable engines may be ordered in vain.
func (d *Domain) Due(maximum int) []DueOrder {
	var orders []DueOrder
	kind, count, due := NextOrder(d.Have, d.Want, maximum)
	if due {
		orders = append(orders, DueOrder{Kind: kind, Count: count})
	}
	if kind != external.Dependable && d.Substitutes > 0 && d.Have.Dependable < d.Want.Dependable {
		orders = append(orders, DueOrder{Kind: external.Dependable, Count: d.Want.Dependable})
	}
	return orders
}
