package rolekeeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// TestLeavingEngineIsNotOrdered guards against ordering a role to an engine that stated
// that it leaves, whose entry is still ready. The others get their share.
func TestLeavingEngineIsNotOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := runKeeper(t, 0.5, &authority{}, 40*time.Second, func(f *fakeEngines) {
			f.leaving = map[ident.Target]bool{"e00": true, "e01": true, "e02": true, "e03": true, "e04": true, "e05": true}
			f.ordered = map[ident.Target]bool{}
		})
		must.Positive(t, len(f.ordered))
		for name := range f.ordered {
			must.False(t, f.leaving[name], must.Sprint(name))
		}
	})
}
