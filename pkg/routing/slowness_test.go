package routing

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestSlownessSettlesAtWhatAnEngineTakes has prompts reckoned by the slowness
// learnt so far, at an engine that takes a constant multiple of the plain time.
func TestSlownessSettlesAtWhatAnEngineTakes(t *testing.T) {
	const plain = 0.2
	for _, factor := range []float64{0.7, 1, 2, 4, 9} {
		l := ledger{}
		for range 60 {
			assumed := l.assumedSlowness()
			l.took(plain*factor, send{reckoned: plain * assumed, slowness: assumed})
		}
		must.Between(t, 0.95*factor, l.slowness, 1.05*factor, must.Sprint(factor))
	}
}

// TestAnEngineThatRecoversIsTrustedAgain has an engine be slow for a while.
func TestAnEngineThatRecoversIsTrustedAgain(t *testing.T) {
	const plain = 0.2
	l := ledger{}
	for n := range 60 {
		actual := plain
		if n < 30 {
			actual *= 8
		}
		assumed := l.assumedSlowness()
		l.took(actual, send{reckoned: plain * assumed, slowness: assumed})
	}
	must.Between(t, 0.95, l.slowness, 1.05)
}
