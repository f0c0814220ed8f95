package usage

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

func TestTheKeeperThatHeardLastSealsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := SourceID{Host: "a", Incarnation: 1}
		ended := func(ident.Host, ident.Incarnation) bool { return true }
		keeperSilentFor := func(silence time.Duration) *Keeper {
			return &Keeper{opts: KeeperOptions{KeepFor: time.Hour}, tails: map[SourceID]*keptTail{
				source: {heardAt: time.Now().Add(-silence)},
			}}
		}
		former, present := keeperSilentFor(8*time.Second), keeperSilentFor(2*time.Second)
		must.MapEmpty(t, former.due(ended))
		must.MapEmpty(t, present.due(ended))
		time.Sleep(2 * time.Second)
		must.MapEmpty(t, former.due(ended))
		must.MapContainsKey(t, present.due(ended), source)
		// Where the other has ended too, the tail is not lost for ever.
		time.Sleep(longestSealWait)
		must.MapContainsKey(t, former.due(ended), source)
	})
}
