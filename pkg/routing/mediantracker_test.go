package routing

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

// TestModelSpeedIsLearnedByAllEngines checks that the prompts of some engines teach
// the speed assumed for an engine of the same role that has had none, from a
// configured rate that is wrong by up to four times, and that one engine among eight
// which is eight times slower does not move it.
func TestModelSpeedIsLearnedByAllEngines(t *testing.T) {
	const prompts, nominal = 100, 0.2
	rapid.Check(t, func(t *rapid.T) {
		factor := math.Exp2(rapid.Float64Range(-2, 2).Draw(t, "factor"))
		slow := rapid.IntRange(0, 7).Draw(t, "slow engine")
		var typical medianTracker
		trackers := make([]targetTracker, 8)
		for n := range prompts {
			tracker := &trackers[n%len(trackers)]
			tracker.typicalSlowness = &typical
			actual := nominal * factor
			if n%len(trackers) == slow {
				actual *= 8
			}
			assumed := tracker.assumedSlowness()
			tracker.observePromptTime(actual, sentRequest{expectedTime: nominal * assumed, assumedSlowness: assumed})
		}
		fresh := targetTracker{typicalSlowness: &typical}
		must.Between(t, factor/1.06, fresh.assumedSlowness(), factor*1.06)
	})
}
