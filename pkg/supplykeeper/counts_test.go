package supplykeeper

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

// TestDesiredCountsWithinBounds checks that the counts stay within the limits of
// the scaling, and that nothing is ordered without a maximum or with a negative
// DependablePerDomain.
func TestDesiredCountsWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scaling := &config.Scaling{
			Minimum: rapid.IntRange(0, 4).Draw(t, "minimum"), ReclaimablePrice: rapid.Float64Range(0, 1.5).Draw(t, "price"),
		}
		scaling.Maximum = scaling.Minimum + rapid.IntRange(0, 8).Draw(t, "more")
		knobs := config.BuiltinKnobs().Supply
		knobs.DependablePerDomain = int64(rapid.IntRange(-1, 6).Draw(t, "dependable"))
		knobs.ReclaimableShare = rapid.Float64Range(0, 1).Draw(t, "share")
		want, ok := DesiredCounts(scaling, &knobs)
		must.Eq(t, scaling.Maximum >= 1 && knobs.DependablePerDomain >= 0, ok)
		if !ok {
			return
		}
		must.GreaterEq(t, scaling.Minimum, want.Dependable)
		must.LessEq(t, scaling.Maximum, want.Dependable+want.Reclaimable)
		must.True(t, want.Reclaimable == 0 || scaling.ReclaimablePrice < 1)
	})
}

// TestNextOrderConvergesWithinBounds carries out one order after the other. The
// maximum must never be exceeded, dependable engines must be returned only once
// their replacements are there, and the desired counts must be reached within five
// orders.
func TestNextOrderConvergesWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maximum := rapid.IntRange(1, 8).Draw(t, "maximum")
		want := Counts{Dependable: rapid.IntRange(0, maximum).Draw(t, "dependable")}
		want.Reclaimable = rapid.IntRange(0, maximum-want.Dependable).Draw(t, "reclaimable")
		have := Counts{Dependable: rapid.IntRange(0, maximum).Draw(t, "present")}
		for step := 0; ; step++ {
			must.Less(t, 5, step)
			kind, count, due := NextOrder(have, want, maximum)
			if !due {
				break
			}
			if kind == external.Reclaimable {
				have.Reclaimable = count
			} else {
				must.GreaterEq(t, min(want.Reclaimable, maximum-have.Dependable), have.Reclaimable)
				have.Dependable = count
			}
			must.LessEq(t, maximum, have.Dependable+have.Reclaimable)
		}
		must.Eq(t, want, have)
	})
}
