package supplykeeper

import (
	"cmp"
	"slices"
	"time"

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
}
