package supplykeeper

import (
	"math"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
)

// Counts are the numbers of a model's engines in one failure domain, by kind.
type Counts struct {
	Dependable  int
	Reclaimable int
}

// DesiredCounts returns the counts that the knobs require, within the limits of
// the model's scaling. It returns false if nothing is to be ordered.
func DesiredCounts(scaling *config.Scaling, knobs *config.SupplyKnobs) (Counts, bool) {
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

// NextOrder returns the kind and count to order next, and whether an order is
// due. The count of dependable engines changes only once there are as many
// reclaimable ones as fit beside them within the maximum.
func NextOrder(have, want Counts, maximum int) (kind external.TargetKind, count int, due bool) {
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
