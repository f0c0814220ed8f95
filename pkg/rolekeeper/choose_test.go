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

// TestChoiceReachesTheShareOnce sees that carrying the changes out reaches the
// wanted count, that nothing more is asked for then, and that prompts are
// computed in every failure domain that the count reaches.
func TestChoiceReachesTheShareOnce(t *testing.T) {
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
		apply(Choose(engines, share))
		have, domains := 0, map[ident.FailureDomain]int{}
		for i := range engines {
			if engines[i].Role == fleet.Prefill {
				have++
				domains[engines[i].Domain]++
			}
		}
		must.Eq(t, Want(n, share), have)
		must.Eq(t, min(4, have), len(domains))
		must.SliceEmpty(t, Choose(engines, share))
		apply(Choose(engines, 0))
		for i := range engines {
			must.Eq(t, fleet.Mixed, engines[i].Role)
		}
	})
}
