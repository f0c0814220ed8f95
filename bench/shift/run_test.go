package shift

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Performance targets for the policy ours. Goodput must be at least minGain times that
// of the least outstanding baseline where the baseline's is below gainThreshold.
const (
	minGoodput        = 0.95
	minGain           = 1.3
	gainThreshold     = 0.75
	maxChanges        = 4
	minLookups        = 0.999
	minInteractive    = 0.99
	minDeferrable     = 0.98
	minWorstWorkspace = 0.95
	maxSpend          = 0.7
)

func TestSameSeedGivesSameFigures(t *testing.T) {
	const scale = 0.1
	for _, d := range deployments() {
		for _, trace := range traces(scale)[:1] {
			first, second := measure(d, trace, policyNamed("ours"), true), measure(d, trace, policyNamed("ours"), true)
			first.tally, second.tally = nil, nil
			must.Eq(t, first, second)
		}
	}
}
