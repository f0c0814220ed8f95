//go:build !race

// These tests take minutes under the race detector and start no goroutines, so CI
// runs them without it, in a separate step.

package shift

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// testScale shortens the traces for tests; BenchmarkShift runs them at full
// length.
const testScale = 0.3

// measuredFigures caches the figures of runs that several tests check.
var measuredFigures = map[string]figures{}

// measureOnce measures the trace with a name, once for all tests.
func measureOnce(d *deployment, name string, p *policy, flooding bool) figures {
	key := fmt.Sprint(d.name, name, p.name, flooding)
	if f, ok := measuredFigures[key]; ok {
		return f
	}
	measuredFigures[key] = measure(d, traceNamed(name), p, flooding)
	return measuredFigures[key]
}

// traceNamed returns the shortened trace with a name.
func traceNamed(name string) *trace {
	for _, t := range traces(testScale) {
		if t.name == name {
			return t
		}
	}
	panic("no trace is named " + name)
}

func TestGoodputDuringSwing(t *testing.T) {
	for _, d := range deployments() {
		f := measureOnce(d, "swing", policyNamed("ours"), false)
		must.GreaterEq(t, minGoodput, f.Goodput, must.Sprint(d.name))
		must.GreaterEq(t, minLookups, f.Lookups, must.Sprint(d.name))
		must.LessEq(t, maxChanges, f.Changes, must.Sprint(d.name))
		baseline := measureOnce(d, "swing", policyNamed("least outstanding"), false)
		if baseline.Goodput < gainThreshold {
			must.GreaterEq(t, minGain*baseline.Goodput, f.Goodput, must.Sprint(d.name))
		}
	}
	// The benchmark must distinguish a bad policy from a good one: without the
	// prefix index and affinity, himalsetu's catalogs are computed again and again.
	off := policy{name: "no caches", noRoles: true, noSupply: true, noMoves: true}
	off.routing.Index, off.routing.Affinity = true, true
	must.Less(t, minGoodput, measureOnce(himalsetu(), "swing", &off, false).Goodput)
}

func TestReclaimedDomain(t *testing.T) {
	for _, d := range deployments() {
		f := measureOnce(d, "reclaim", policyNamed("ours"), false)
		must.GreaterEq(t, minDeferrable, f.Deferrable, must.Sprint(d.name))
		must.GreaterEq(t, minLookups, f.Lookups, must.Sprint(d.name))
		// The performance target is relative to the same trace without the reclaim.
		kept := f.Interactive / measureOnce(d, "swing", policyNamed("ours"), false).Interactive
		must.GreaterEq(t, minInteractive, kept, must.Sprint(d.name))
	}
}

func TestFloodKeepsShareOfOtherWorkspaces(t *testing.T) {
	for _, d := range deployments() {
		must.GreaterEq(t, minWorstWorkspace, worstKeptShare(d, policyNamed("ours")), must.Sprint(d.name))
	}
	// The benchmark must distinguish a bad policy from a good one: a queue that serves
	// in order of arrival only.
	off := policy{name: "in order", noRoles: true, noSupply: true}
	off.admission.Fairness, off.admission.ExcessLimits = true, true
	must.Less(t, minWorstWorkspace, worstKeptShare(kivotos(), &off))
}

func TestSpendComparedWithDependableEnginesOnly(t *testing.T) {
	for _, d := range deployments() {
		mixed, dependable := measureOnce(d, "swing", policyNamed("ours"), false), measureOnce(d, "swing", policyNamed("ours, all dependable"), false)
		must.LessEq(t, maxSpend, mixed.Spend/dependable.Spend, must.Sprint(d.name))
		must.GreaterEq(t, minInteractive, mixed.Interactive/dependable.Interactive, must.Sprint(d.name))
	}
}

// worstKeptShare returns the least ratio, over the workspaces that don't flood, of
// the work answered in time with the flood to that without it.
func worstKeptShare(d *deployment, p *policy) float64 {
	withoutFlood, withFlood := measureOnce(d, "flood", p, false), measureOnce(d, "flood", p, true)
	kept := 1.0
	for w := range d.sizes {
		if w == floodWorkspace {
			continue
		}
		kept = min(kept, withFlood.tally.workspaces[w].answeredWork/withoutFlood.tally.workspaces[w].answeredWork)
	}
	return kept
}
