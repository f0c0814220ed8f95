package rolekeeper

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

// TestChooseChangesReachesTheShareInOneStep checks that applying the changes reaches
// the desired count, that no more changes follow, and that the prefill engines are
// in as many failure domains as possible.
func TestChooseChangesReachesTheShareInOneStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 24).Draw(t, "engines")
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		engines := make([]Engine, n)
		for i := range engines {
			engines[i] = Engine{Target: ident.Target(fmt.Sprint(i)), Domain: ident.FailureDomain(fmt.Sprint(i % 4)), Role: fleet.Mixed}
		}
		apply := func(changes []Change) {
			for _, change := range changes {
				for i := range engines {
					if engines[i].Target == change.Target {
						engines[i].Role = change.Role
					}
				}
			}
		}
		apply(ChooseChanges(engines, share))
		have, domains := 0, map[ident.FailureDomain]int{}
		for i := range engines {
			if engines[i].Role == fleet.Prefill {
				have++
				domains[engines[i].Domain]++
			}
		}
		must.Eq(t, DesiredPrefill(n, share), have)
		must.Eq(t, min(4, have), len(domains))
		must.SliceEmpty(t, ChooseChanges(engines, share))
		apply(ChooseChanges(engines, 0))
		for i := range engines {
			must.Eq(t, fleet.Mixed, engines[i].Role)
		}
	})
}
