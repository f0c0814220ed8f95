package supplykeeper

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

// TestWantKeepsTheBounds sees that orders keep what the platform allows, and
// that nothing is ordered where nothing was said.
func TestWantKeepsTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scaling := &config.Scaling{
			Minimum: rapid.IntRange(0, 4).Draw(t, "minimum"), ReclaimablePrice: rapid.Float64Range(0, 1.5).Draw(t, "price"),
		}
		scaling.Maximum = scaling.Minimum + rapid.IntRange(0, 8).Draw(t, "more")
		knobs := config.BuiltinKnobs().Supply
		knobs.DependablePerDomain = int64(rapid.IntRange(-1, 6).Draw(t, "dependable"))
		knobs.ReclaimableShare = rapid.Float64Range(0, 1).Draw(t, "share")
		want, ok := Want(scaling, &knobs)
		must.Eq(t, scaling.Maximum >= 1 && knobs.DependablePerDomain >= 0, ok)
		if !ok {
			return
		}
		must.GreaterEq(t, scaling.Minimum, want.Dependable)
		must.LessEq(t, scaling.Maximum, want.Dependable+want.Reclaimable)
		must.True(t, want.Reclaimable == 0 || scaling.ReclaimablePrice < 1)
	})
}

// TestOrdersReachTheWantedCounts carries the orders out one after the other, and
// sees that the platform's bound is kept, that engines which stay are given back
// only for cheap ones that are there, and that the orders come to an end.
func TestOrdersReachTheWantedCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maximum := rapid.IntRange(1, 8).Draw(t, "maximum")
		want := Counts{Dependable: rapid.IntRange(0, maximum).Draw(t, "dependable")}
		want.Reclaimable = rapid.IntRange(0, maximum-want.Dependable).Draw(t, "reclaimable")
		have := Counts{Dependable: rapid.IntRange(0, maximum).Draw(t, "present")}
		for step := 0; ; step++ {
			must.Less(t, 5, step)
			kind, count, due := Next(have, want, maximum)
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
