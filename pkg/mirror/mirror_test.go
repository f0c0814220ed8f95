package mirror

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
)

// recorder keeps a copy of the keys that it is told of.
type recorder struct {
	prefix  string
	values  map[external.Key]string
	outages int
	wholes  int
}

func (r *recorder) Follows(key external.Key) bool {
	return len(key) >= len(r.prefix) && string(key[:len(r.prefix)]) == r.prefix
}

func (r *recorder) Outage(_, ended time.Time) {
	if ended.IsZero() {
		r.outages++
	}
}

func (r *recorder) Apply(entries []external.Entry, whole bool, _ time.Time) {
	if whole {
		r.wholes++
		clear(r.values)
	}
	for _, entry := range entries {
		if entry.Deleted {
			delete(r.values, entry.Key)
			continue
		}
		r.values[entry.Key] = string(entry.Value)
	}
}

// trouble fails the store's watches while it is set.
type trouble struct {
	external.Store
	mu  sync.Mutex
	err error
	// times is how many watches fail; zero fails all.
	times int
	calls int
	// silent has the next call hang.
	silent bool
}

func (s *trouble) Watch(ctx context.Context, prefix external.Key, after external.Cursor) (external.Changes, error) {
	if s.hangs() {
		<-ctx.Done()
		return external.Changes{}, external.ErrStoreUnavailable
	}
	if err := s.next(); err != nil {
		return external.Changes{}, err
	}
	return s.Store.Watch(ctx, prefix, after)
}

// hang has the next call bring nothing until it is given up.
func (s *trouble) hang() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

// hangs reports whether a call is the one that hangs.
func (s *trouble) hangs() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := s.silent
	s.silent = false
	return silent
}

// next counts a call and returns what it fails with.
func (s *trouble) next() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	err := s.err
	if s.times--; s.times == 0 {
		s.err = nil
	}
	return err
}

// fail has the next calls fail, or all of them where times is zero.
func (s *trouble) fail(err error, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err, s.times = err, times
}

// count returns how many calls were made.
func (s *trouble) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// follow runs a mirror over a store until the body returns.
func follow(t *testing.T, body func(t *testing.T, store *memstore.Store, front *trouble, m *Mirror, r *recorder)) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(clock.NewRuntime())
		front := &trouble{Store: store}
		r := &recorder{prefix: "a/", values: make(map[external.Key]string)}
		m := New(Options{Store: front, Pause: 500 * time.Millisecond, Wait: 1200 * time.Millisecond, Log: slog.New(slog.DiscardHandler)}, r)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- m.Run(ctx) }()
		body(t, store, front, m, r)
		cancel()
		must.NoError(t, <-done)
	})
}

// pause lets time pass, and what then runs come to rest.
func pause(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// put writes a key.
func put(t *testing.T, store *memstore.Store, key external.Key, value string, base external.Version) external.Version {
	version, err := store.CompareAndSwap(t.Context(), external.Swap{Key: key, Value: []byte(value), Base: base})
	must.NoError(t, err)
	return version
}

func TestChangesReachTheirListeners(t *testing.T) {
	follow(t, func(t *testing.T, store *memstore.Store, _ *trouble, m *Mirror, r *recorder) {
		version := put(t, store, "a/1", "x", 0)
		put(t, store, "b/1", "other", 0)
		pause(2 * time.Second)
		must.Eq(t, map[external.Key]string{"a/1": "x"}, r.values)
		version = put(t, store, "a/1", "y", version)
		pause(time.Second)
		must.Eq(t, "y", r.values["a/1"])
		must.NoError(t, store.Delete(t.Context(), "a/1", version))
		pause(time.Second)
		must.MapEmpty(t, r.values)
		age, ok := m.Age()
		must.True(t, ok)
		must.LessEq(t, 2*time.Second, age)
	})
}

// TestBusyKeysCostFewCalls writes thirteen keys a second, as a fleet's
// heartbeats do, and counts the calls.
func TestBusyKeysCostFewCalls(t *testing.T) {
	follow(t, func(t *testing.T, store *memstore.Store, front *trouble, _ *Mirror, _ *recorder) {
		version := external.Version(0)
		for range 130 {
			version = put(t, store, "a/beat", "x", version)
			time.Sleep(77 * time.Millisecond)
		}
		synctest.Wait()
		must.LessEq(t, 22, front.count())
	})
}

func TestOutageIsToldOnceAndOvercome(t *testing.T) {
	follow(t, func(t *testing.T, store *memstore.Store, front *trouble, _ *Mirror, r *recorder) {
		pause(time.Second)
		front.fail(external.ErrStoreUnavailable, 0)
		pause(5 * time.Second)
		put(t, store, "a/1", "x", 0)
		must.Eq(t, 1, r.outages)
		front.fail(nil, 0)
		pause(3 * time.Second)
		must.Eq(t, "x", r.values["a/1"])
		must.Eq(t, 1, r.outages)
	})
}

func TestLostHistoryIsReadAnewAtOnce(t *testing.T) {
	follow(t, func(t *testing.T, store *memstore.Store, front *trouble, _ *Mirror, r *recorder) {
		put(t, store, "a/1", "x", 0)
		pause(2 * time.Second)
		before := r.wholes
		front.fail(external.ErrHistoryGone, 1)
		pause(1700 * time.Millisecond)
		must.Eq(t, 0, r.outages, must.Sprint("a lost history is no outage"))
		pause(time.Second)
		must.Greater(t, before, r.wholes)
		must.Eq(t, "x", r.values["a/1"])
	})
}

// TestAStoreThatKeepsNoHistoryIsNotAskedWithoutPause has every call answered
// alike, the one from the start too.
func TestAStoreThatKeepsNoHistoryIsNotAskedWithoutPause(t *testing.T) {
	follow(t, func(t *testing.T, _ *memstore.Store, front *trouble, _ *Mirror, _ *recorder) {
		front.fail(external.ErrHistoryGone, 0)
		pause(10 * time.Second)
		must.LessEq(t, 40, front.count())
	})
}

// TestAChangeIsKnownInTimeThoughACallGoesSilent has a call hang from the moment
// of a change on. Targets that leave must get nothing new two seconds later, or
// three.
func TestAChangeIsKnownInTimeThoughACallGoesSilent(t *testing.T) {
	for _, within := range []time.Duration{2 * time.Second, 3 * time.Second} {
		known := within * 3 / 4
		for shift := range 20 {
			change := time.Duration(shift) * 100 * time.Millisecond
			synctest.Test(t, func(t *testing.T) { silentCall(t, within, known, change) })
		}
	}
}

// silentCall has a call hang from a change on, which must be known in time.
func silentCall(t *testing.T, within, known, change time.Duration) {
	store := memstore.New(clock.NewRuntime())
	front := &trouble{Store: store}
	r := &recorder{prefix: "a/", values: make(map[external.Key]string)}
	m := New(Options{Store: front, Pause: PauseFor(within), Wait: DefaultWait, Log: slog.New(slog.DiscardHandler)}, r)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- m.Run(ctx) }()
	pause(2*time.Second + change)
	front.hang()
	put(t, store, "a/1", "leaving", 0)
	pause(known)
	must.Eq(t, "leaving", r.values["a/1"], must.Sprint(within, change))
	cancel()
	must.NoError(t, <-done)
}

// slowLoad takes a while to read everything, as a store does that is asked by a
// whole fleet at once.
type slowLoad struct {
	external.Store
	takes time.Duration
	loads int
}

func (s *slowLoad) Watch(ctx context.Context, prefix external.Key, after external.Cursor) (external.Changes, error) {
	if after == external.StartCursor {
		s.loads++
		clock.Sleep(ctx, s.takes)
		if ctx.Err() != nil {
			return external.Changes{}, fault.Wrap(ctx.Err(), fault.Unavailable, "the store can't be read", "try again later")
		}
	}
	return s.Store.Watch(ctx, prefix, after)
}

// TestALargeStoreIsReadThoughThatTakesLong has everything take four times as long
// to read as one watch may wait.
func TestALargeStoreIsReadThoughThatTakesLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowLoad{Store: memstore.New(clock.NewRuntime()), takes: 4 * DefaultWait}
		_, err := store.CompareAndSwap(t.Context(), external.Swap{Key: "a/1", Value: []byte("x")})
		must.NoError(t, err)
		r := &recorder{prefix: "a/", values: make(map[external.Key]string)}
		m := New(Options{Store: store, Pause: 400 * time.Millisecond, Wait: DefaultWait, Log: slog.New(slog.DiscardHandler)}, r)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- m.Run(ctx) }()
		pause(12 * DefaultWait)
		must.Eq(t, "x", r.values["a/1"])
		must.LessEq(t, 4, store.loads)
		cancel()
		must.NoError(t, <-done)
	})
}
