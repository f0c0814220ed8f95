package supplykeeper

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/config"
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

func TestNothingIsGivenBackBeforeTheCheapOnesAreThere(t *testing.T) {
	want := Counts{Dependable: 1, Reclaimable: 4}
	reclaimable, due := Next(Counts{Dependable: 3, Reclaimable: 3}, want)
	must.True(t, due)
	must.True(t, reclaimable)
	reclaimable, due = Next(Counts{Dependable: 3, Reclaimable: 4}, want)
	must.True(t, due)
	must.False(t, reclaimable)
	_, due = Next(want, want)
	must.False(t, due)
}
