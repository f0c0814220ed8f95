package presence

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
	"amaranthplank.example/amaranthplank/pkg/storeera"
)

// isWrittenAgain lets the store go back to before a daemon wrote its key and give the ID
// of the daemon's lease to somebody else, and reports whether the key is there a renewal
// and a retry later.
func isWrittenAgain(t *testing.T, guarded bool) (written bool) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		memory := memstore.New(clock.NewRuntime())
		var store external.Store = memory
		if guarded {
			store = storeera.New(memory, discardLog, prometheus.NewRegistry())
		}
		empty := memory.Snapshot()
		a := NewAnnouncer(store, Record{Host: "one", Incarnation: 1}, discardLog)
		go func() { _ = a.Run(ctx) }()
		time.Sleep(time.Second)
		memory.Restore(empty)
		_, err := memory.Grant(ctx, time.Hour)
		must.NoError(t, err)
		time.Sleep(renewInterval + retryInterval)
		entries, err := memory.List(ctx, KeyPrefix)
		must.NoError(t, err)
		written = len(entries) == 1
		cancel()
		synctest.Wait()
	})
	return written
}

// TestKeyIsWrittenAgainAfterRise guards against a daemon that is taken for gone because it
// renews another one's lease, which has the ID that its own had. It has gracePeriod to
// write its key again.
func TestKeyIsWrittenAgainAfterRise(t *testing.T) {
	must.True(t, isWrittenAgain(t, true))
	must.False(t, isWrittenAgain(t, false), must.Sprint("the guard is not what makes the difference"))
}
