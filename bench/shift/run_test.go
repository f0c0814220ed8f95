package shift

import (
	"testing"

	"github.com/shoenig/test/must"
)

// The bounds are the stated targets, not measured figures.
const (
	leastGoodput     = 0.95
	leastGain        = 1.3
	gainBelow        = 0.75
	mostChanges      = 4
	leastLookups     = 0.999
	leastInteractive = 0.99
	leastDeferrable  = 0.98
	leastWorst       = 0.95
	mostSpend        = 0.7
)

func TestSameSeedsGiveSameFigures(t *testing.T) {
	const scale = 0.1
	for _, d := range deployments() {
		for _, trace := range traces(scale)[:1] {
			first, second := measure(d, trace, policyNamed("ours"), true), measure(d, trace, policyNamed("ours"), true)
			first.tally, second.tally = nil, nil
			must.Eq(t, first, second)
		}
	}
}
