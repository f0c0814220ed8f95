package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
	"amaranthplank.example/amaranthplank/pkg/storeera"
	"amaranthplank.example/amaranthplank/pkg/tally"
)

// linkedGateway is the part of a gateway that exchanges usage with linked daemons.
func linkedGateway(t *testing.T, host ident.Host, store *memstore.Store) (*Gateway, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	links, err := peer.New(peer.Options{Host: host, Incarnation: 1, Listener: listener, Secret: []byte("s"), Registerer: prometheus.NewRegistry()})
	must.NoError(t, err)
	log := slog.New(slog.DiscardHandler)
	guard := storeera.New(store, log, prometheus.NewRegistry())
	g := &Gateway{opts: Options{Host: host, Log: log}, store: guard, standbyWriter: tally.NewStandbyWriter(store, log)}
	g.windows = tally.NewWindowMemory(store, tally.NewSteadyWallClock(clock.Boot{}), log)
	links.Handle(peer.KindUsageTail, g.receiveCheckpoint)
	links.Handle(peer.KindClosedWindow, g.receiveClosedWindow)
	links.Handle(peer.KindStoreEra, g.receiveEra)
	g.links.Store(links)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- links.Run(ctx) }()
	go g.sendEras(ctx, links)
	go func() { done <- g.standbyWriter.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
		must.NoError(t, <-done)
	})
	return g, listener.Addr().String()
}

// eventually waits until a condition holds.
func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(ok), wait.Timeout(20*time.Second), wait.Gap(5*time.Millisecond)))
}

// TestHandedOverCheckpointIsWritten guards against messages that the link of the
// receiver skips for their version: the checkpoint of a daemon that the store refuses
// must be written by the daemon that it is sent to.
func TestHandedOverCheckpointIsWritten(t *testing.T) {
	store := memstore.New(clock.Boot{})
	sender, _ := linkedGateway(t, "a", store)
	_, address := linkedGateway(t, "b", store)
	sender.links.Load().SetPeers([]peer.Address{{Host: "b", Address: address}})
	eventually(t, func() bool { return len(sender.links.Load().Linked()) == 1 })
	value, err := json.Marshal(tally.Checkpoint{Host: "a", Incarnation: 1, Through: time.Unix(100, 0)})
	must.NoError(t, err)
	sender.sendCheckpoint(tally.CheckpointMessage{Checkpoint: value, Refused: true})
	eventually(t, func() bool {
		entries, err := store.List(t.Context(), tally.CheckpointPrefix)
		return err == nil && len(entries) == 1
	})
}
