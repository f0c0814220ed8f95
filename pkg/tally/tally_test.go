package tally

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/mirror"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
)

const windowLength = 5 * time.Second

// sink takes reports as the platform does: a repeat must bear the same counts.
type sink struct {
	t       *testing.T
	mu      sync.Mutex
	reports map[Window]Counts
	// err fails the calls, after the report was taken where lost is set.
	err  error
	lost bool
}

func (s *sink) Report(_ context.Context, window Window, counts Counts, _ ident.Fencing) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil && !s.lost {
		return s.err
	}
	if known, ok := s.reports[window]; ok {
		must.Eq(s.t, known, counts, must.Sprint("a window was reported with other counts"))
	}
	s.reports[window] = counts
	return s.err
}

// fail has the reports fail, after they were taken where lost is set.
func (s *sink) fail(err error, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err, s.lost = err, lost
}

// reported returns whether a window was reported, and how many were.
func (s *sink) reported(window Window) (ok bool, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok = s.reports[window]
	return ok, len(s.reports)
}

// authority is held until it is lost.
type authority struct{ lost bool }

func (a *authority) Duty() ident.Duty       { return "usage" }
func (a *authority) Fencing() ident.Fencing { return 7 }

func (a *authority) Check() error {
	if a.lost {
		return fault.New(fault.Fenced, "lost", "stop")
	}
	return nil
}

// world is a store, a sink and daemons that count.
type world struct {
	t     *testing.T
	store *memstore.Store
	time  *TrueTime
	sink  *sink
	// ended are the hosts whose daemons are known to be gone.
	ended sync.Map
}

// over reports whether a daemon is known to be gone.
func (w *world) over(host ident.Host, _ ident.Incarnation) bool {
	_, ok := w.ended.Load(host)
	return ok
}

// inWorld runs a test in fake time.
func inWorld(t *testing.T, body func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.NewRuntime()
		body(&world{t: t, store: memstore.New(c), time: NewTrueTime(c), sink: &sink{t: t, reports: make(map[Window]Counts)}})
	})
}

// daemon starts a counter.
func (w *world) daemon(ctx context.Context, host ident.Host) *Counter {
	counter := NewCounter(w.options(host))
	go func() { _ = counter.Run(ctx) }()
	return counter
}

// options are those of a daemon of a fleet of eight.
func (w *world) options(host ident.Host) CounterOptions {
	return CounterOptions{
		Host: host, Incarnation: 1, Store: w.store, Time: w.time, Window: windowLength,
		Daemons: func() int { return 8 }, Log: slog.New(slog.DiscardHandler),
	}
}

// report runs a reporter until ctx ends.
func (w *world) report(ctx context.Context, held *authority) {
	reporter := &Reporter{
		Store: w.store, Sink: w.sink, Time: w.time, Window: windowLength, Due: 10 * time.Second,
		Ended: w.over, Log: slog.New(slog.DiscardHandler),
	}
	_ = reporter.Work(ctx, held)
}

// total adds up what was reported.
func (w *world) total(workspace ident.Workspace) (sum uint64) {
	w.sink.mu.Lock()
	defer w.sink.mu.Unlock()
	for _, counts := range w.sink.reports {
		sum += counts[workspace]
	}
	return sum
}

func TestEveryRequestIsReportedOnceInItsWindow(t *testing.T) {
	inWorld(t, func(w *world) {
		ctx, cancel := context.WithCancel(w.t.Context())
		defer cancel()
		one, two := w.daemon(ctx, "one"), w.daemon(ctx, "two")
		go w.report(ctx, &authority{})
		time.Sleep(time.Second)
		for range 100 {
			one.Begun("a")
			two.Begun("b")
			two.Begun("a")
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(8 * time.Second)
		must.Eq(t, uint64(200), w.total("a"))
		must.Eq(t, uint64(100), w.total("b"))
		_, count := w.sink.reported(0)
		must.GreaterEq(t, 3, count)
	})
}

// TestASuccessorReportsWhatWasClosed loses the reports' answers, then the
// authority, and has another holder go on while late counts come in.
func TestASuccessorReportsWhatWasClosed(t *testing.T) {
	inWorld(t, func(w *world) {
		ctx, cancel := context.WithCancel(w.t.Context())
		defer cancel()
		counter := w.daemon(ctx, "one")
		first, stop := context.WithCancel(ctx)
		go w.report(first, &authority{})
		counter.Begun("a")
		w.sink.fail(fault.New(fault.Unknown, "lost", "repeat"), true)
		time.Sleep(12 * time.Second)
		stop()
		counter.Begun("a")
		w.sink.fail(nil, false)
		go w.report(ctx, &authority{})
		time.Sleep(12 * time.Second)
		must.Eq(t, uint64(2), w.total("a"))
	})
}

func TestNothingIsReportedWithoutAuthority(t *testing.T) {
	inWorld(t, func(w *world) {
		ctx, cancel := context.WithCancel(w.t.Context())
		defer cancel()
		w.daemon(ctx, "one").Begun("a")
		w.report(ctx, &authority{lost: true})
		must.MapEmpty(t, w.sink.reports)
	})
}

// loseOne runs two daemons and a reporter, and kills one of the daemons after a
// while. It returns what ends the others.
func (w *world) loseOne() (stop func()) {
	ctx, cancel := context.WithCancel(w.t.Context())
	dying, kill := context.WithCancel(ctx)
	w.daemon(ctx, "one")
	w.daemon(dying, "two")
	go w.report(ctx, &authority{})
	time.Sleep(6 * time.Second)
	kill()
	return cancel
}

// TestASilentDaemonIsWaitedForNoLongerThanItMay kills a daemon: the windows
// after it are still reported in time.
func TestASilentDaemonIsWaitedForNoLongerThanItMay(t *testing.T) {
	inWorld(t, func(w *world) {
		defer w.loseOne()()
		for range 30 {
			time.Sleep(time.Second)
			last := windowOf(w.time.Now(), windowLength) - 3
			reported, _ := w.sink.reported(last)
			began, _ := w.sink.reported(last - 1)
			must.True(t, reported || !began, must.Sprint("a window is overdue"))
		}
	})
}

// TestADaemonThatIsKnownToBeGoneIsNotWaitedFor kills a daemon whose end becomes
// known: the windows after it are reported as soon as those of a whole fleet.
func TestADaemonThatIsKnownToBeGoneIsNotWaitedFor(t *testing.T) {
	inWorld(t, func(w *world) {
		defer w.loseOne()()
		w.ended.Store(ident.Host("two"), true)
		window := windowOf(w.time.Now(), windowLength) + 1
		untilClosed := window.end(windowLength).Add(closeAfter + 2*reportEvery).Sub(w.time.Now())
		time.Sleep(untilClosed)
		reported, _ := w.sink.reported(window)
		must.True(t, reported)
	})
}

// TestALostWriteIsMadeGood has a write of the checkpoint take effect without an
// answer.
func TestALostWriteIsMadeGood(t *testing.T) {
	inWorld(t, func(w *world) {
		store := &losing{Store: w.store}
		opts := w.options("one")
		opts.Store = store
		counter := NewCounter(opts)
		counter.Begun("a")
		store.lose = true
		must.Error(t, counter.publish(w.t.Context(), false))
		store.lose = false
		counter.Begun("a")
		must.Error(t, counter.publish(w.t.Context(), false), must.Sprint("the version moved on"))
		must.NoError(t, counter.publish(w.t.Context(), false))
		entries, err := w.store.List(w.t.Context(), OpenPrefix)
		must.NoError(t, err)
		must.Len(t, 1, entries)
		checkpoint, err := DecodeCheckpoint(entries[0].Value)
		must.NoError(t, err)
		must.Eq(t, uint64(2), checkpoint.Windows[windowOf(w.time.Now(), windowLength)]["a"])
	})
}

// losing makes writes whose answers are lost.
type losing struct {
	external.Store
	lose bool
}

func (l *losing) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	version, err := l.Store.CompareAndSwap(ctx, swap)
	if l.lose {
		return 0, external.ErrStoreUnknown
	}
	return version, err
}

// TestTrueTimeDoesNotStep sees that the windows follow the clock that never
// steps.
func TestTrueTimeDoesNotStep(t *testing.T) {
	c := &handClock{}
	trueTime := NewTrueTime(c)
	before := trueTime.Now()
	c.now = 7 * time.Second
	must.Eq(t, 7*time.Second, trueTime.Now().Sub(before))
}

// handClock is moved by hand.
type handClock struct{ now time.Duration }

func (c *handClock) Now() time.Duration { return c.now }

// TestUsageOfADaemonThatTheStoreTurnsAwayIsReported has the store refuse one
// daemon, which hands its counts to the other and then stops for good.
func TestUsageOfADaemonThatTheStoreTurnsAwayIsReported(t *testing.T) {
	inWorld(t, func(w *world) {
		ctx, cancel := context.WithCancel(w.t.Context())
		defer cancel()
		log := slog.New(slog.DiscardHandler)
		courier := NewCourier(w.store, log)
		go func() { _ = courier.Run(ctx) }()
		w.daemon(ctx, "one")
		opts := w.options("two")
		opts.Store = refusing{w.store}
		opts.HandOver = func(parcel Parcel) { must.NoError(w.t, courier.Take(parcel)) }
		refused := NewCounter(opts)
		alive, stop := context.WithCancel(ctx)
		go func() { _ = refused.Run(alive) }()
		go w.report(ctx, &authority{})
		for range 80 {
			refused.Begun("a")
			time.Sleep(100 * time.Millisecond)
		}
		stop()
		leaving, end := context.WithTimeout(ctx, time.Second)
		must.Error(w.t, refused.Leave(leaving))
		end()
		time.Sleep(12 * time.Second)
		must.Eq(w.t, uint64(80), w.total("a"))
		must.MapEmpty(w.t, courier.parcels)
	})
}

// refusing refuses every write.
type refusing struct{ external.Store }

func (refusing) CompareAndSwap(context.Context, external.Swap) (external.Version, error) {
	return 0, external.ErrStoreUnavailable
}

// TestAnOlderCheckpointNeverReplacesANewerOne delivers two out of order.
func TestAnOlderCheckpointNeverReplacesANewerOne(t *testing.T) {
	inWorld(t, func(w *world) {
		courier := NewCourier(w.store, slog.New(slog.DiscardHandler))
		at := func(d time.Duration, n uint64) Parcel {
			value, err := encode(&Checkpoint{Host: "h", Through: time.Unix(100, 0).Add(d), Windows: map[Window]Counts{1: {"a": n}}})
			must.NoError(w.t, err)
			return Parcel{Checkpoint: value, Refused: true}
		}
		must.NoError(w.t, courier.Take(at(time.Second, 2)))
		courier.deliver(w.t.Context())
		must.NoError(w.t, courier.Take(at(0, 1)))
		courier.deliver(w.t.Context())
		entries, err := w.store.List(w.t.Context(), OpenPrefix)
		must.NoError(w.t, err)
		standing, err := DecodeCheckpoint(entries[0].Value)
		must.NoError(w.t, err)
		must.Eq(w.t, uint64(2), standing.Windows[1]["a"])
		must.Error(w.t, courier.Take(Parcel{Checkpoint: []byte("{")}))
	})
}

// writing counts the checkpoints that are written, and their bytes.
type writing struct {
	external.Store
	writes, bytes atomic.Int64
}

func (w *writing) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	w.writes.Add(1)
	w.bytes.Add(int64(len(swap.Value)))
	return w.Store.CompareAndSwap(ctx, swap)
}

// TestALargeFleetWritesSeldomAndLittle has a daemon of eighty count the requests
// of 80 workspaces for a minute, while its windows are closed.
func TestALargeFleetWritesSeldomAndLittle(t *testing.T) {
	const seconds, workspaces = 60, 80
	// windowBytes bounds a window's counts as they are written.
	const windowBytes = workspaces * 20
	inWorld(t, func(w *world) {
		ctx, cancel := context.WithCancel(w.t.Context())
		defer cancel()
		store := &writing{Store: w.store}
		opts := w.options("one")
		opts.Store, opts.Daemons = store, func() int { return 80 }
		counter := NewCounter(opts)
		follower := mirror.New(mirror.Options{
			Store: w.store, Pause: time.Second, Wait: time.Second, Log: opts.Log,
		}, counter)
		go func() { _ = counter.Run(ctx) }()
		go func() { _ = follower.Run(ctx) }()
		go w.report(ctx, &authority{})
		for range seconds * 10 {
			for n := range workspaces {
				counter.Begun(ident.Workspace(fmt.Sprintf("space-%d", n)))
			}
			time.Sleep(100 * time.Millisecond)
		}
		must.LessEq(t, seconds/4+1, store.writes.Load())
		must.LessEq(t, 4*windowBytes, store.bytes.Load()/store.writes.Load())
	})
}

// TestWhatADaemonCountedBeforeItWasKilledIsReported kills a daemon of a large
// fleet between two of its writes.
func TestWhatADaemonCountedBeforeItWasKilledIsReported(t *testing.T) {
	inWorld(t, func(w *world) {
		ctx, cancel := context.WithCancel(w.t.Context())
		defer cancel()
		courier := NewCourier(w.store, slog.New(slog.DiscardHandler))
		go func() { _ = courier.Run(ctx) }()
		opts := w.options("one")
		opts.Daemons = func() int { return 80 }
		opts.HandOver = func(parcel Parcel) { must.NoError(w.t, courier.Take(parcel)) }
		dying, kill := context.WithCancel(ctx)
		counter := NewCounter(opts)
		go func() { _ = counter.Run(dying) }()
		go w.report(ctx, &authority{})
		time.Sleep(1500 * time.Millisecond)
		for range 30 {
			counter.Begun("a")
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(checkpointEvery)
		kill()
		time.Sleep(15 * time.Second)
		must.Eq(t, uint64(30), w.total("a"))
		must.MapEmpty(t, courier.parcels)
	})
}
