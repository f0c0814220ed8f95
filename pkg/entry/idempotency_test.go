package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
	"amaranthplank.example/amaranthplank/pkg/standin/faulttarget"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
	"amaranthplank.example/amaranthplank/pkg/standin/rig"
)

// TestIdempotencyKeyAcrossDaemons sends requests with the same idempotency keys
// through two daemons that share a store.
func TestIdempotencyKeyAcrossDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := faultstore.New(memstore.New(clock.NewRuntime()))
		var rigs []*rig.Rig
		for range 2 {
			r, err := rig.New(rig.Options{Ledgers: 1, Store: store, LateDelay: 3 * time.Second})
			must.NoError(t, err)
			defer r.Close()
			rigs = append(rigs, r)
		}
		sendWithKey := func(daemon int, word, key string) reply {
			q := write.newRequest(word)
			q.Header.Set("Idempotency-Key", key)
			got := send(rigs[daemon].Caller(), q)
			synctest.Wait()
			return got
		}
		first := sendWithKey(0, "w", "k")
		again := sendWithKey(1, "w", "k")
		must.Eq(t, "answered", again.outcome)
		must.Eq(t, first.body, again.body)
		must.Eq(t, "true", again.header.Get("Amaranth-Replayed"))
		must.Eq(t, 1, write.runs(rigs[0], "w")+write.runs(rigs[1], "w"))
		must.Eq(t, 1, len(rigs[0].Usage.Records())+len(rigs[1].Usage.Records()))

		must.Eq(t, 400, sendWithKey(1, "other", "k").status, must.Sprint("a different request with the same key"))

		rigs[0].Faults["ledger-1"].Script(faulttarget.CloseAfter)
		must.Eq(t, "unknown", sendWithKey(0, "lost", "k2").outcome)
		must.Eq(t, "unknown", sendWithKey(1, "lost", "k2").outcome)
		must.Eq(t, 0, write.runs(rigs[1], "lost"))

		rigs[0].Network.Refuse("ledger-1:80", true)
		must.Eq(t, "answered", sendWithKey(0, "w", "k").outcome, must.Sprint("a replayed response needs no target"))
		time.Sleep(2 * time.Second)
		must.Eq(t, "not run", sendWithKey(0, "free", "k3").outcome)
		must.Eq(t, "answered", sendWithKey(1, "free", "k3").outcome, must.Sprint("a request that was not run must not keep its key claimed"))

		rigs[1].Faults["ledger-1"].Script(faulttarget.Late)
		running := make(chan reply)
		go func() { running <- sendWithKey(1, "slow", "k4") }()
		time.Sleep(time.Second)
		meanwhile := sendWithKey(0, "slow", "k4")
		must.Eq(t, 409, meanwhile.status)
		must.Eq(t, "2", meanwhile.header.Get("Retry-After"))
		must.Eq(t, "answered", (<-running).outcome)

		store.Set(faultstore.Faults{Down: true})
		down := sendWithKey(1, "down", "k5")
		must.Eq(t, "not run", down.outcome)
		must.Eq(t, 503, down.status)
		must.Eq(t, 0, write.runs(rigs[1], "down"))
	})
}
