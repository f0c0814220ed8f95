package supply

import (
	"math"

	"amaranthplank.example/amaranthplank/pkg/config"
)

// Need is the capacity that a model needs, in whole targets.
type Need struct {
	// Interactive is the number of targets that must remain when the
	// reclaimable ones of any one failure domain are lost.
	Interactive int
	// Total is the number of targets for all work, deferrable included.
	Total int
}

// Mix is how many targets of each kind to run.
type Mix struct {
	Dependable  int
	Reclaimable int
}

// needOf returns the need for a demand, with headroom and within the bounds of
// the knobs.
func needOf(interactive, total float64, knobs *config.SupplyKnobs) Need {
	n := Need{
		Interactive: int(math.Ceil(interactive * knobs.Headroom)),
		Total:       int(math.Ceil(total * knobs.Headroom)),
	}
	n.Total = min(max(n.Total, n.Interactive, int(knobs.MinTargets)), int(knobs.MaxTargets))
	n.Interactive = min(n.Interactive, n.Total)
	return n
}

// atMost returns the need limited to a number of targets, so that only a few new
// targets load weights at the same time. The rest is ordered once those have
// arrived.
func (n Need) atMost(targets int) Need {
	return Need{Interactive: min(n.Interactive, targets), Total: min(n.Total, targets)}
}

// CheapestMix returns the cheapest mix that meets a need with reclaimable targets
// in the given number of failure domains. The mix still meets the interactive
// need when any one of these domains is lost.
func CheapestMix(need Need, domains int, knobs *config.SupplyKnobs) Mix {
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
		for !survivesDomainLoss(dependable, reclaimable, domains, need.Interactive) {
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

// survivesDomainLoss reports whether a mix meets the interactive need without the
// failure domain that has the most reclaimable targets.
func survivesDomainLoss(dependable, reclaimable, domains, interactive int) bool {
	lost := (reclaimable + domains - 1) / domains
	return dependable+reclaimable-lost >= interactive
}

// spreadShare returns how many of count targets the failure domain at a position
// gets when they are spread evenly. The remainder goes to the domains from
// position first on, one each.
func spreadShare(count, domains, position, first int) int {
	if domains == 0 {
		return 0
	}
	share := count / domains
	if (position-first+domains)%domains < count%domains {
		share++
	}
	return share
}
