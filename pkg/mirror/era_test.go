package mirror

import (
	"context"
	"log/slog"
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

// eraListener is a recorder that also counts the ends of outages.
type eraListener struct {
	recorder
	ends int
	// endsAtWhole is the number of ends when the keys were last applied whole.
	endsAtWhole int
}

func (l *eraListener) Outage(began, ended time.Time) {
	l.recorder.Outage(began, ended)
	if !ended.IsZero() {
		l.ends++
	}
}

func (l *eraListener) Apply(entries []external.Entry, whole bool, now time.Time) {
	if whole {
		l.endsAtWhole = l.ends
	}
	l.recorder.Apply(entries, whole, now)
}

// TestAllKeysAreReadAnewAfterRise guards against a view that mixes two eras of the store:
// the revisions after the mirror's cursor exist again when it asks for changes. The
// listeners must be told before, as at the end of an outage, since what is missing may
// only have to be written again.
func TestAllKeysAreReadAnewAfterRise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.DiscardHandler)
		store := memstore.New(clock.NewRuntime())
		guard := storeera.New(store, log, prometheus.NewRegistry())
		l := &eraListener{recorder: recorder{prefix: "a/", values: make(map[external.Key]string)}}
		m := New(Options{Store: guard, Pause: maxPause, CallTimeout: DefaultCallTimeout, Log: log}, l)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- m.Run(ctx) }()
		kept := put(t, store, "a/kept", "old", 0)
		snapshot := store.Snapshot()
		put(t, store, "a/kept", "new", kept)
		put(t, store, "a/lost", "x", 0)
		advance(3 * time.Second)
		must.Eq(t, map[external.Key]string{"a/kept": "new", "a/lost": "x"}, l.values)
		store.Restore(snapshot)
		for _, key := range []external.Key{"a/1", "a/2", "a/3"} {
			put(t, store, key, "y", 0)
		}
		advance(2 * time.Second)
		must.Eq(t, map[external.Key]string{"a/kept": "old", "a/1": "y", "a/2": "y", "a/3": "y"}, l.values)
		must.Eq(t, 1, l.ends)
		must.Eq(t, 1, l.endsAtWhole)
		must.Eq(t, 0, l.outages, must.Sprint("a rise is not an outage"))
		cancel()
		must.NoError(t, <-done)
	})
}

// TestRiseSeenByAnotherCallEndsThePause guards against a view that is older than it has
// to be: another part of the daemon was answered in a new era during the pause.
func TestRiseSeenByAnotherCallEndsThePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.DiscardHandler)
		store := memstore.New(clock.NewRuntime())
		guard := storeera.New(store, log, prometheus.NewRegistry())
		l := &eraListener{recorder: recorder{prefix: "a/", values: make(map[external.Key]string)}}
		m := New(Options{Store: guard, Pause: time.Hour, CallTimeout: DefaultCallTimeout, Log: log}, l)
		put(t, store, "a/1", "x", 0)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- m.Run(ctx) }()
		advance(time.Second)
		put(t, store, "a/2", "y", 0)
		store.Restore(store.Snapshot())
		_, _ = guard.Get(t.Context(), "a/1")
		advance(time.Millisecond)
		must.Eq(t, "y", l.values["a/2"])
		cancel()
		must.NoError(t, <-done)
	})
}
