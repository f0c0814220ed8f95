package gateway

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
	"amaranthplank.example/amaranthplank/pkg/storeera"
)

// secretGateway returns the part of a gateway that keeps the secret of the links.
func secretGateway(store *memstore.Store) *Gateway {
	log := slog.New(slog.DiscardHandler)
	return &Gateway{opts: Options{Log: log, Store: storeera.New(store, log, prometheus.NewRegistry())}}
}

// TestSecretOutlivesReturnOfStore guards against two groups of daemons that can't link to
// each other: the store loses the secret, and a daemon that starts then must not create
// another one before those that know it have written it again.
func TestSecretOutlivesReturnOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := memstore.New(clock.NewRuntime())
		empty := store.Snapshot()
		first := secretGateway(store)
		secret := first.waitForSecret(ctx)
		go first.keepSecret(ctx, secret)
		time.Sleep(time.Second)
		store.Restore(empty)
		later := make(chan []byte, 1)
		go func() { later <- secretGateway(store).waitForSecret(ctx) }()
		time.Sleep(1200 * time.Millisecond)
		_, err := first.opts.Store.List(ctx, "")
		must.NoError(t, err, must.Sprint("any call tells the first daemon of the rise"))
		must.Eq(t, secret, <-later)

		store.Restore(empty)
		alone := secretGateway(store).waitForSecret(ctx)
		must.SliceNotEmpty(t, alone, must.Sprint("a daemon that nobody helps creates one"))
		cancel()
		synctest.Wait()
	})
}
