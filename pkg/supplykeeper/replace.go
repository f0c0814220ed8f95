package supplykeeper

import (
	"cmp"
	"slices"
)

// ReplaceLost raises the desired engines of a model by what some of its failure domains
// have lost. The platform reclaims all engines of a domain simultaneously and may have no
// others there for a while.
//
// Domains that have lost none are to have as many more reclaimable engines as their
// maximum permits. Of what they can't replace, the loss of the largest domain is borne.
// The rest is replaced by dependable engines in the domains that have lost theirs.
func ReplaceLost(domains []Domain, maximum int) {
	lost, borne := 0, 0
	var affected, intact []*Domain
	for i := range domains {
		domain := &domains[i]
		borne = max(borne, domain.Want.Reclaimable)
		if missing := domain.lost(); missing > 0 {
			lost += missing
			affected = append(affected, domain)
			continue
		}
		intact = append(intact, domain)
	}
	lost -= spread(intact, lost, func(domain *Domain, wanted int) int {
		domain.Replaces = min(wanted, max(0, maximum-domain.Want.Dependable-domain.Want.Reclaimable))
		domain.Want.Reclaimable += domain.Replaces
		return domain.Replaces
	})
	spread(affected, max(0, lost-borne), func(domain *Domain, wanted int) int {
		domain.Substitutes = min(wanted, max(0, maximum-domain.Want.Dependable-domain.Have.Reclaimable))
		domain.Want.Dependable += domain.Substitutes
		return domain.Substitutes
	})
}

// spread assigns a number of engines to the domains, the cheapest first, and returns how
// many they take. take returns how many of the assigned engines a domain takes.
func spread(domains []*Domain, wanted int, take func(domain *Domain, wanted int) int) (taken int) {
	slices.SortStableFunc(domains, func(a, b *Domain) int { return cmp.Compare(a.Price, b.Price) })
	for _, domain := range domains {
		taken += take(domain, wanted-taken)
	}
	return taken
}
