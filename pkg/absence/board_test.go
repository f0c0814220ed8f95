package absence

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/mirror"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
)

// hearer keeps what a board heard.
type hearer struct {
	mu    sync.Mutex
	heard []ident.Target
}

func (h *hearer) hear(away []backlog.Away) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range away {
		h.heard = append(h.heard, a.Target)
	}
}

func (h *hearer) list() []ident.Target {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]ident.Target(nil), h.heard...)
}

// storeWithAKey returns a store that its followers can read whole at once.
func storeWithAKey(ctx context.Context, t *testing.T) external.Store {
	t.Helper()
	store := memstore.New(clock.NewRuntime())
	_, err := store.CompareAndSwap(ctx, external.Swap{Key: "other"})
	must.NoError(t, err)
	return store
}

// follow starts a daemon's board over a store.
func follow(ctx context.Context, host ident.Host, store external.Store) (*Board, *hearer) {
	log := slog.New(slog.DiscardHandler)
	h := &hearer{}
	b := New(Options{Host: host, Store: store, Heard: h.hear, Log: log})
	m := mirror.New(mirror.Options{Store: store, Pause: 400 * time.Millisecond, Wait: 700 * time.Millisecond, Log: log}, b)
	go func() { _ = m.Run(ctx) }()
	return b, h
}

// TestAnnouncementsReachEveryDaemonOnce has two holders announce at one moment,
// neither of whom knows of the other's, and a daemon start later, which must not
// take the old announcements for new ones.
func TestAnnouncementsReachEveryDaemonOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := storeWithAKey(ctx, t)
		one, atOne := follow(ctx, "one", store)
		two, atTwo := follow(ctx, "two", store)
		time.Sleep(time.Second)
		must.NoError(t, one.Announce(ctx, []backlog.Away{{Target: "e", Millis: 5000}}))
		must.NoError(t, two.Announce(ctx, []backlog.Away{{Target: "f", Millis: 5000}, {Target: "g", Millis: 5000}}))
		time.Sleep(time.Second)
		must.NoError(t, one.Announce(ctx, []backlog.Away{{Target: "h", Millis: 5000}}))
		time.Sleep(2 * time.Second)
		must.Eq(t, []ident.Target{"e", "f", "g", "h"}, atOne.list(), must.Sprint("each once, though followed by another at once"))
		must.Eq(t, atOne.list(), atTwo.list())
		_, late := follow(ctx, "late", store)
		time.Sleep(2 * time.Second)
		must.SliceEmpty(t, late.list())
	})
}

// TestHistoryThatIsReadAgainAnnouncesNothing has the whole store read again.
func TestHistoryThatIsReadAgainAnnouncesNothing(t *testing.T) {
	h := &hearer{}
	b := New(Options{Heard: h.hear, Log: slog.New(slog.DiscardHandler)})
	entry := external.Entry{Key: KeyPrefix + "one", Version: 3, Value: []byte(`[{"Target":"e","Millis":1000}]`)}
	b.Apply(nil, true, time.Now())
	b.Apply([]external.Entry{entry}, false, time.Now())
	b.Apply([]external.Entry{entry}, true, time.Now())
	b.Apply([]external.Entry{{Key: KeyPrefix + "one", Version: 4, Value: []byte("{")}}, false, time.Now())
	must.Eq(t, []ident.Target{"e"}, h.list())
}

// TestAnnouncementsOfOneHostReplaceEachOther has a host announce again after its
// key was deleted, after a life that it does not know of, and when its lease ends.
func TestAnnouncementsOfOneHostReplaceEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := storeWithAKey(ctx, t)
		_, heard := follow(ctx, "two", store)
		time.Sleep(time.Second)
		first := New(Options{Host: "one", Store: store, Heard: func([]backlog.Away) {}, Log: slog.New(slog.DiscardHandler)})
		must.NoError(t, first.Announce(ctx, []backlog.Away{{Target: "e", Millis: 5000}}))
		time.Sleep(2 * time.Second)
		second, _ := follow(ctx, "one", store)
		must.NoError(t, second.Announce(ctx, []backlog.Away{{Target: "f", Millis: 5000}}))
		time.Sleep(2 * keptFor)
		entries, err := store.List(ctx, KeyPrefix)
		must.NoError(t, err)
		must.SliceEmpty(t, entries, must.Sprint("announcements end by themselves"))
		must.NoError(t, second.Announce(ctx, []backlog.Away{{Target: "g", Millis: 5000}}))
		time.Sleep(2 * time.Second)
		must.Eq(t, []ident.Target{"e", "f", "g"}, heard.list())
	})
}
