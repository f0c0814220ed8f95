package supplykeeper

import (
	"cmp"
	"slices"
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
	// Supplied reports whether all wanted reclaimable engines have been there
	// before, so that missing ones are lost and not only on their way.
	Supplied bool
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
	missing := d.Want.Reclaimable - d.Have.Reclaimable
	if !d.Supplied || float64(missing) < lostShare*float64(d.Want.Reclaimable) {
		return 0
	}
	return missing
}

// ReplaceLost raises the wanted reclaimable engines of the domains that have lost
// none by what the others have lost, the cheapest domains first, as far as the
// maximum of each permits. The platform reclaims all engines of a domain at once and
// may have no others there for a while.
func ReplaceLost(domains []Domain, maximum int) {
	lost := 0
	var intact []*Domain
	for i := range domains {
		if missing := domains[i].lost(); missing > 0 {
			lost += missing
			continue
		}
		intact = append(intact, &domains[i])
	}
	slices.SortStableFunc(intact, func(a, b *Domain) int { return cmp.Compare(a.Price, b.Price) })
	for _, domain := range intact {
		room := max(0, maximum-domain.Want.Dependable-domain.Want.Reclaimable)
		more := min(lost, room)
		domain.Want.Reclaimable += more
		domain.Replaces = more
		lost -= more
	}
	substituteLost(domains, maximum, lost)
}

// substituteLost raises the wanted dependable engines of the domains that have lost
// their reclaimable ones, the cheapest domains first, if more are lost than the
// largest domain has. The fleet bears the loss of one domain without them.
func substituteLost(domains []Domain, maximum, lost int) {
	borne := 0
	for i := range domains {
		borne = max(borne, domains[i].Want.Reclaimable-domains[i].Replaces)
	}
	missing := max(0, lost-borne)
	byPrice := make([]*Domain, 0, len(domains))
	for i := range domains {
		if domains[i].lost() > 0 {
			byPrice = append(byPrice, &domains[i])
		}
	}
	slices.SortStableFunc(byPrice, func(a, b *Domain) int { return cmp.Compare(a.Price, b.Price) })
	for _, domain := range byPrice {
		room := max(0, maximum-domain.Want.Dependable-domain.Have.Reclaimable)
		more := min(missing, room)
		domain.Want.Dependable += more
		domain.Substitutes = more
		missing -= more
	}
}

// Due is an order that is due for one kind of engines in a domain.
type Due struct {
	Kind  external.TargetKind
	Count int
}

// Due returns the orders that are due in the domain. Substitutes are ordered while the
// reclaimable engines may be ordered in vain.
func (d *Domain) Due(maximum int) []Due {
	var orders []Due
	kind, count, due := NextOrder(d.Have, d.Want, maximum)
	if due {
		orders = append(orders, Due{Kind: kind, Count: count})
	}
	if kind != external.Dependable && d.Substitutes > 0 && d.Have.Dependable < d.Want.Dependable {
		orders = append(orders, Due{Kind: external.Dependable, Count: d.Want.Dependable})
	}
	return orders
}
