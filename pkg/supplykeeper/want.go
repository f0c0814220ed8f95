package supplykeeper

import (
	"math"

	"amaranthplank.example/amaranthplank/pkg/config"
)

// Counts are engines of one model in one failure domain.
type Counts struct {
	Dependable  int
	Reclaimable int
}

// Want returns the counts that the knobs ask for within the bounds of what may
// be ordered. It returns false where nothing is to be ordered.
func Want(scaling *config.Scaling, knobs *config.SupplyKnobs) (Counts, bool) {
	if scaling == nil || scaling.Maximum < 1 || knobs.DependablePerDomain < 0 {
		return Counts{}, false
	}
	dependable := min(scaling.Maximum, max(scaling.Minimum, int(knobs.DependablePerDomain)))
	reclaimable := 0
	if scaling.ReclaimablePrice > 0 && scaling.ReclaimablePrice < 1 {
		reclaimable = int(math.Round(knobs.ReclaimableShare * float64(scaling.Maximum)))
	}
	return Counts{Dependable: dependable, Reclaimable: min(reclaimable, scaling.Maximum-dependable)}, true
}

// Next returns the kind whose count is to be ordered next, or false. Engines
// that stay are given back only once the cheap ones are there.
func Next(have, want Counts) (reclaimable, due bool) {
	switch {
	case have.Reclaimable != want.Reclaimable:
		return true, true
	case have.Dependable != want.Dependable:
		return false, true
	}
	return false, false
}
