package routing

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestSlownessConvergesToActualFactor checks that the slowness converges to the
// factor by which an engine exceeds the nominal time, although the expected
// times include the slowness estimated so far.
func TestSlownessConvergesToActualFactor(t *testing.T) {
	const nominal = 0.2
	for _, factor := range []float64{0.7, 1, 2, 4, 9} {
		tracker := targetTracker{}
		for range 60 {
			assumed := tracker.assumedSlowness()
			tracker.observePromptTime(nominal*factor, sentRequest{expectedTime: nominal * assumed, assumedSlowness: assumed})
		}
		must.Between(t, 0.95*factor, tracker.slowness, 1.05*factor, must.Sprint(factor))
	}
}

// TestSlownessRecoversAfterSlowPeriod checks that the slowness returns to one
// after an engine was slow for a while.
func TestSlownessRecoversAfterSlowPeriod(t *testing.T) {
	const nominal = 0.2
	tracker := targetTracker{}
	for n := range 60 {
		actual := nominal
		if n < 30 {
			actual *= 8
		}
		assumed := tracker.assumedSlowness()
		tracker.observePromptTime(actual, sentRequest{expectedTime: nominal * assumed, assumedSlowness: assumed})
	}
	must.Between(t, 0.95, tracker.slowness, 1.05)
}
