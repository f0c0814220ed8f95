package gateway

import (
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/peer"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
	"amaranthplank.example/amaranthplank/pkg/storeera"
	"amaranthplank.example/amaranthplank/pkg/tally"
)

// TestClosedWindowIsRememberedByLinkedDaemon guards against a window that is lost because
// its holder and the store forget it together: a daemon that was only sent the window
// writes it when the store comes back from an older copy.
func TestClosedWindowIsRememberedByLinkedDaemon(t *testing.T) {
	store := memstore.New(clock.Boot{})
	guard := storeera.New(store, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	sender, _ := linkedGateway(t, "a", store)
	receiver, address := linkedGateway(t, "b", store)
	receiver.windows = tally.NewWindowMemory(guard, tally.NewSteadyWallClock(clock.Boot{}), receiver.opts.Log)
	receiver.windows.Apply(nil, true, time.Now())
	go func() { _ = receiver.windows.Run(t.Context()) }()
	sender.links.Load().SetPeers([]peer.Address{{Host: "b", Address: address}})
	eventually(t, func() bool { return len(sender.links.Load().Linked()) == 1 })
	sender.sendClosedWindow(tally.ClosedWindow{Window: 41, Counts: tally.Counts{"a": 3}})
	restored := time.Time{}
	eventually(t, func() bool {
		_, err := guard.Get(t.Context(), "tally/window")
		if err != nil && time.Since(restored) > 2*time.Second {
			store.Restore(store.Snapshot())
			restored = time.Now()
		}
		return err == nil
	})
	entry, err := guard.Get(t.Context(), "tally/window")
	must.NoError(t, err)
	must.StrContains(t, string(entry.Value), `{"window":41,"counts":{"a":3},"reported":false,`)
	must.Greater(t, external.Era(0), entry.Version.Era())
}
