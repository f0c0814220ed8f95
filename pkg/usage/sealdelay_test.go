package usage

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// TestMostRecentReplicaSealsFirst covers a source that switched from one replica
// to another before it ended. If the stale replica sealed first, the records
// after the switch would be lost.
func TestMostRecentReplicaSealsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := SourceID{Host: "a", Incarnation: 1}
		ended := func(ident.Host, ident.Incarnation) bool { return true }
		replicaWithTailAge := func(age time.Duration) *TailReplica {
			return &TailReplica{opts: TailReplicaOptions{Retention: time.Hour}, tails: map[SourceID]*sourceTail{
				source: {lastMessageAt: time.Now().Add(-age)},
			}}
		}
		stale, recent := replicaWithTailAge(8*time.Second), replicaWithTailAge(2*time.Second)
		must.MapEmpty(t, stale.dueTails(ended))
		must.MapEmpty(t, recent.dueTails(ended))
		time.Sleep(2 * time.Second)
		must.MapEmpty(t, stale.dueTails(ended))
		must.MapContainsKey(t, recent.dueTails(ended), source)
		// The stale replica seals after maxSealDelay, in case the recent one failed.
		time.Sleep(maxSealDelay)
		must.MapContainsKey(t, stale.dueTails(ended), source)
	})
}
