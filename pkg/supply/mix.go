package supply

import (
	"math"

	"amaranthplank.example/amaranthplank/pkg/config"
)

// Need is what the targets of a model must carry, in whole targets.
type Need struct {
	// Interactive must be carried also when any one failure domain's
	// reclaimable targets go; Total includes deferrable work.
	Interactive int
	Total       int
}

// Mix is how many targets of each kind to hold.
type Mix struct {
	Dependable  int
	Reclaimable int
}

// needOf returns the need for a demand with its headroom.
func needOf(interactive, total float64, knobs *config.SupplyKnobs) Need {
	n := Need{
		Interactive: int(math.Ceil(interactive * knobs.Headroom)),
		Total:       int(math.Ceil(total * knobs.Headroom)),
	}
	n.Total = min(max(n.Total, n.Interactive, int(knobs.MinTargets)), int(knobs.MaxTargets))
	n.Interactive = min(n.Interactive, n.Total)
	return n
}

// atMost returns the need cut to a count of targets, so that no more than a few
// read weights at the same time; the rest is ordered once these have come.
func (n Need) atMost(targets int) Need {
	return Need{Interactive: min(n.Interactive, targets), Total: min(n.Total, targets)}
}

// Choose returns the cheapest mix that carries a need with reclaimable targets
// in so many failure domains. Whichever one of these is lost, the rest carries
// the interactive need.
func Choose(need Need, domains int, knobs *config.SupplyKnobs) Mix {
	least := int(math.Ceil(float64(need.Interactive) * knobs.DependableShare))
	best, bestPrice := Mix{Dependable: need.Total}, float64(need.Total)
	if domains == 0 {
		return best
	}
	for dependable := min(least, need.Total); dependable <= need.Total; dependable++ {
		reclaimable := need.Total - dependable
		if domains == 1 && dependable < need.Interactive {
			continue
		}
		for !survives(dependable, reclaimable, domains, need.Interactive) {
			reclaimable++
		}
		if dependable+reclaimable > int(knobs.MaxTargets) {
			continue
		}
		price := float64(dependable) + float64(reclaimable)*knobs.ReclaimablePrice
		if price < bestPrice {
			best, bestPrice = Mix{Dependable: dependable, Reclaimable: reclaimable}, price
		}
	}
	return best
}

// survives reports whether a mix carries the interactive need without the
// failure domain that holds the most reclaimable targets.
func survives(dependable, reclaimable, domains, interactive int) bool {
	lost := (reclaimable + domains - 1) / domains
	return dependable+reclaimable-lost >= interactive
}

// spread returns how many of count targets the failure domain at a position
// holds, when they are spread evenly over domains beginning at first.
func spread(count, domains, position, first int) int {
	if domains == 0 {
		return 0
	}
	share := count / domains
	if (position-first+domains)%domains < count%domains {
		share++
	}
	return share
}
