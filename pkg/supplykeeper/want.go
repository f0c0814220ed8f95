package supplykeeper

import (
	"math"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
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

// Next returns the count that is to be ordered next, or false. Engines that stay
// are given back only once the cheap ones that fit beside them are there.
func Next(have, want Counts, maximum int) (kind external.TargetKind, count int, due bool) {
	fitting := min(want.Reclaimable, max(0, maximum-have.Dependable))
	switch {
	case have.Reclaimable < fitting:
		return external.Reclaimable, fitting, true
	case have.Dependable != want.Dependable:
		return external.Dependable, want.Dependable, true
	case have.Reclaimable != want.Reclaimable:
		return external.Reclaimable, want.Reclaimable, true
	}
	return "", 0, false
}
