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

// recorder is a Listener that keeps a copy of the keys with a prefix.
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

// faultyStore makes watches fail or hang.
type faultyStore struct {
	external.Store
	mu  sync.Mutex
	err error
	// times is the number of watches that fail; zero means all.
	times int
	calls int
	// hangNext makes the next call hang.
	hangNext bool
}

func (s *faultyStore) Watch(ctx context.Context, prefix external.Key, after external.Cursor) (external.Changes, error) {
	if s.takeHang() {
		<-ctx.Done()
		return external.Changes{}, external.ErrStoreUnavailable
	}
	if err := s.nextError(); err != nil {
		return external.Changes{}, err
	}
	return s.Store.Watch(ctx, prefix, after)
}

// hang makes the next call hang until its context ends.
func (s *faultyStore) hang() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangNext = true
}

// takeHang reports whether the current call hangs, and resets hangNext.
func (s *faultyStore) takeHang() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	hangNext := s.hangNext
	s.hangNext = false
	return hangNext
}

// nextError counts a call and returns the error that it fails with.
func (s *faultyStore) nextError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	err := s.err
	if s.times--; s.times == 0 {
		s.err = nil
	}
	return err
}

// failCalls makes the next calls fail, or all of them if times is zero.
func (s *faultyStore) failCalls(err error, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err, s.times = err, times
}

// count returns the number of calls.
func (s *faultyStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// runMirror runs a mirror of a store until the body returns.
func runMirror(t *testing.T, body func(t *testing.T, store *memstore.Store, faulty *faultyStore, m *Mirror, r *recorder)) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(clock.NewRuntime())
		faulty := &faultyStore{Store: store}
		r := &recorder{prefix: "a/", values: make(map[external.Key]string)}
		m := New(Options{Store: faulty, Pause: 500 * time.Millisecond, CallTimeout: 1200 * time.Millisecond, Log: slog.New(slog.DiscardHandler)}, r)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- m.Run(ctx) }()
		body(t, store, faulty, m, r)
		cancel()
		must.NoError(t, <-done)
	})
}

// advance lets fake time pass and waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// put writes a key.
func put(t *testing.T, store *memstore.Store, key external.Key, value string, base external.Version) external.Version {
	version, err := store.CompareAndSwap(t.Context(), external.Swap{Key: key, Value: []byte(value), Base: base})
	must.NoError(t, err)
	return version
}

func TestChangesReachListeners(t *testing.T) {
	runMirror(t, func(t *testing.T, store *memstore.Store, _ *faultyStore, m *Mirror, r *recorder) {
		version := put(t, store, "a/1", "x", 0)
		put(t, store, "b/1", "other", 0)
		advance(2 * time.Second)
		must.Eq(t, map[external.Key]string{"a/1": "x"}, r.values)
		version = put(t, store, "a/1", "y", version)
		advance(time.Second)
		must.Eq(t, "y", r.values["a/1"])
		must.NoError(t, store.Delete(t.Context(), "a/1", version))
		advance(time.Second)
		must.MapEmpty(t, r.values)
		age, ok := m.Age()
		must.True(t, ok)
		must.LessEq(t, 2*time.Second, age)
	})
}

// TestBusyKeysCostFewCalls writes thirteen keys a second, as a fleet's
// heartbeats do, and counts the calls.
func TestBusyKeysCostFewCalls(t *testing.T) {
	runMirror(t, func(t *testing.T, store *memstore.Store, faulty *faultyStore, _ *Mirror, _ *recorder) {
		version := external.Version(0)
		for range 130 {
			version = put(t, store, "a/beat", "x", version)
			time.Sleep(77 * time.Millisecond)
		}
		synctest.Wait()
		must.LessEq(t, 22, faulty.count())
	})
}

func TestOutageIsReportedOnce(t *testing.T) {
	runMirror(t, func(t *testing.T, store *memstore.Store, faulty *faultyStore, _ *Mirror, r *recorder) {
		advance(time.Second)
		faulty.failCalls(external.ErrStoreUnavailable, 0)
		advance(5 * time.Second)
		put(t, store, "a/1", "x", 0)
		must.Eq(t, 1, r.outages)
		faulty.failCalls(nil, 0)
		advance(3 * time.Second)
		must.Eq(t, "x", r.values["a/1"])
		must.Eq(t, 1, r.outages)
	})
}

func TestLostHistoryIsReloadedAtOnce(t *testing.T) {
	runMirror(t, func(t *testing.T, store *memstore.Store, faulty *faultyStore, _ *Mirror, r *recorder) {
		put(t, store, "a/1", "x", 0)
		advance(2 * time.Second)
		before := r.wholes
		faulty.failCalls(external.ErrHistoryGone, 1)
		advance(1700 * time.Millisecond)
		must.Eq(t, 0, r.outages, must.Sprint("a lost history is not an outage"))
		advance(time.Second)
		must.Greater(t, before, r.wholes)
		must.Eq(t, "x", r.values["a/1"])
	})
}

// TestCallsArePacedWithoutHistory makes every call fail with a lost history, also
// those that read all keys. The mirror must not retry in a busy loop.
func TestCallsArePacedWithoutHistory(t *testing.T) {
	runMirror(t, func(t *testing.T, _ *memstore.Store, faulty *faultyStore, _ *Mirror, _ *recorder) {
		faulty.failCalls(external.ErrHistoryGone, 0)
		advance(10 * time.Second)
		must.LessEq(t, 40, faulty.count())
	})
}

// TestChangeIsReceivedInTimeWhenCallHangs makes a change at different points of the
// polling cycle while the next call hangs. A target that leaves must receive no new
// requests after two seconds, or three, so the change must be received in three
// quarters of that.
func TestChangeIsReceivedInTimeWhenCallHangs(t *testing.T) {
	for _, within := range []time.Duration{2 * time.Second, 3 * time.Second} {
		receiptTime := within * 3 / 4
		for shift := range 20 {
			change := time.Duration(shift) * 100 * time.Millisecond
			synctest.Test(t, func(t *testing.T) { testHangingCall(t, within, receiptTime, change) })
		}
	}
}

// testHangingCall hangs a call at a change, and checks that the change is received
// within receiptTime.
func testHangingCall(t *testing.T, within, receiptTime, change time.Duration) {
	store := memstore.New(clock.NewRuntime())
	faulty := &faultyStore{Store: store}
	r := &recorder{prefix: "a/", values: make(map[external.Key]string)}
	m := New(Options{Store: faulty, Pause: PauseFor(within), CallTimeout: DefaultCallTimeout, Log: slog.New(slog.DiscardHandler)}, r)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- m.Run(ctx) }()
	advance(2*time.Second + change)
	faulty.hang()
	put(t, store, "a/1", "leaving", 0)
	advance(receiptTime)
	must.Eq(t, "leaving", r.values["a/1"], must.Sprint(within, change))
	cancel()
	must.NoError(t, <-done)
}

// slowStore takes some time to read all keys, as a store does when a whole fleet
// reads it at once.
type slowStore struct {
	external.Store
	loadTime time.Duration
	loads    int
}

func (s *slowStore) Watch(ctx context.Context, prefix external.Key, after external.Cursor) (external.Changes, error) {
	if after == external.StartCursor {
		s.loads++
		clock.Sleep(ctx, s.loadTime)
		if ctx.Err() != nil {
			return external.Changes{}, fault.Wrap(ctx.Err(), fault.Unavailable, "the store can't be read", "try again later")
		}
	}
	return s.Store.Watch(ctx, prefix, after)
}

// TestSlowLoadSucceedsWithLongerTimeout makes reading all keys take four times as
// long as one watch may wait.
func TestSlowLoadSucceedsWithLongerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{Store: memstore.New(clock.NewRuntime()), loadTime: 4 * DefaultCallTimeout}
		_, err := store.CompareAndSwap(t.Context(), external.Swap{Key: "a/1", Value: []byte("x")})
		must.NoError(t, err)
		r := &recorder{prefix: "a/", values: make(map[external.Key]string)}
		m := New(Options{Store: store, Pause: 400 * time.Millisecond, CallTimeout: DefaultCallTimeout, Log: slog.New(slog.DiscardHandler)}, r)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- m.Run(ctx) }()
		advance(12 * DefaultCallTimeout)
		must.Eq(t, "x", r.values["a/1"])
		must.LessEq(t, 4, store.loads)
		cancel()
		must.NoError(t, <-done)
	})
}

// failingListener panics on every change.
type failingListener struct{ recorder }

func (f *failingListener) Apply([]external.Entry, bool, time.Time) { panic("unexpected value") }

// TestFailingListenerDoesNotStopOthers checks that an entry which one listener fails on
// reaches the others, and that later changes do too.
func TestFailingListenerDoesNotStopOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(clock.Boot{})
		sound := &recorder{prefix: "a/", values: make(map[external.Key]string)}
		m := New(Options{Store: store, Pause: time.Second, CallTimeout: DefaultCallTimeout, Log: slog.New(slog.DiscardHandler)}, &failingListener{}, sound)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- m.Run(ctx) }()
		for _, value := range []string{"1", "2"} {
			put(t, store, external.Key("a/"+value), value, external.NoVersion)
			advance(3 * time.Second)
			must.Eq(t, value, sound.values[external.Key("a/"+value)])
		}
		cancel()
		must.NoError(t, <-done)
	})
}
