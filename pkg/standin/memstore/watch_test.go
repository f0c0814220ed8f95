package memstore_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
)

// watchers is the number of daemons that the system is designed for.
const watchers = 330

func TestWatchesWakeOnlyForTheirPrefix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(clock.NewRuntime())
		ctx, cancel := context.WithCancel(context.Background())
		var seen atomic.Int64
		var group sync.WaitGroup
		for range watchers {
			group.Go(func() {
				changes, err := store.Watch(ctx, "config/", external.StartCursor)
				if err == nil && len(changes.Entries) == 1 && changes.Entries[0].Key == "config/a" {
					seen.Add(1)
				}
			})
		}
		synctest.Wait()
		must.Eq(t, watchers, store.ActiveWatches())
		_, err := store.CompareAndSwap(ctx, external.Swap{Key: "usage/a"})
		must.NoError(t, err)
		synctest.Wait()
		must.Eq(t, watchers, store.ActiveWatches())
		_, err = store.CompareAndSwap(ctx, external.Swap{Key: "config/a"})
		must.NoError(t, err)
		group.Wait()
		cancel()
		must.Eq(t, watchers, seen.Load())
		must.Eq(t, 0, store.ActiveWatches())
	})
}

func TestWatchReportsLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(clock.NewRuntime())
		ctx := context.Background()
		lease, err := store.Grant(ctx, 9*time.Second)
		must.NoError(t, err)
		_, err = store.CompareAndSwap(ctx, external.Swap{Key: "duty/a", Lease: lease})
		must.NoError(t, err)
		first, err := store.Watch(ctx, "duty/", external.StartCursor)
		must.NoError(t, err)
		began := time.Now()
		second, err := store.Watch(ctx, "duty/", first.Next)
		must.NoError(t, err)
		must.True(t, second.Entries[0].Deleted)
		must.Eq(t, 9*time.Second, time.Since(began))
		version, err := store.CompareAndSwap(ctx, external.Swap{Key: "duty/a"})
		must.NoError(t, err)
		must.Greater(t, second.Entries[0].Version, version)
	})
}
