package tally

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/mirror"
)

func TestEveryRequestIsReportedOnceInItsWindow(t *testing.T) {
	withFixture(t, func(f *fixture) {
		ctx, cancel := context.WithCancel(f.t.Context())
		defer cancel()
		one, two := f.startCounter(ctx, "one"), f.startCounter(ctx, "two")
		go f.report(ctx, &fakeAuthority{})
		time.Sleep(time.Second)
		for range 100 {
			one.RequestStarted("a")
			two.RequestStarted("b")
			two.RequestStarted("a")
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(8 * time.Second)
		must.Eq(t, uint64(200), f.total("a"))
		must.Eq(t, uint64(100), f.total("b"))
		_, count := f.sink.reported(0)
		must.GreaterEq(t, 3, count)
	})
}

// TestCheckpointsThatArriveSlowlyAreReported guards against a fleet whose checkpoints are
// too many for the time of one call, and whose windows would never be reported.
func TestCheckpointsThatArriveSlowlyAreReported(t *testing.T) {
	withFixture(t, func(f *fixture) {
		ctx, cancel := context.WithCancel(f.t.Context())
		defer cancel()
		counter := f.startCounter(ctx, "one")
		go f.reportFrom(ctx, &fakeAuthority{}, &slowList{Store: f.store, listTime: 2 * callTimeout})
		time.Sleep(time.Second)
		counter.RequestStarted("a")
		time.Sleep(4 * windowLength)
		must.Eq(t, uint64(1), f.total("a"))
	})
}

// TestSuccessorReportsClosedWindow loses the responses to the reports, stops the
// reporter, and starts a second one while further requests are counted. Windows
// that are reported again must have the same counts.
func TestSuccessorReportsClosedWindow(t *testing.T) {
	withFixture(t, func(f *fixture) {
		ctx, cancel := context.WithCancel(f.t.Context())
		defer cancel()
		counter := f.startCounter(ctx, "one")
		first, stop := context.WithCancel(ctx)
		go f.report(first, &fakeAuthority{})
		counter.RequestStarted("a")
		f.sink.fail(fault.New(fault.Unknown, "lost", "repeat"), true)
		time.Sleep(12 * time.Second)
		stop()
		counter.RequestStarted("a")
		f.sink.fail(nil, false)
		go f.report(ctx, &fakeAuthority{})
		time.Sleep(12 * time.Second)
		must.Eq(t, uint64(2), f.total("a"))
	})
}

func TestNothingIsReportedWithoutAuthority(t *testing.T) {
	withFixture(t, func(f *fixture) {
		ctx, cancel := context.WithCancel(f.t.Context())
		defer cancel()
		f.startCounter(ctx, "one").RequestStarted("a")
		f.report(ctx, &fakeAuthority{lost: true})
		must.MapEmpty(t, f.sink.reports)
	})
}

// killOne runs two daemons and a reporter, and kills daemon "two" after six
// seconds. The returned function stops the others.
func (f *fixture) killOne() (stop func()) {
	ctx, cancel := context.WithCancel(f.t.Context())
	dying, kill := context.WithCancel(ctx)
	f.startCounter(ctx, "one")
	f.startCounter(dying, "two")
	go f.report(ctx, &fakeAuthority{})
	time.Sleep(6 * time.Second)
	kill()
	return cancel
}

// TestWindowsAreReportedInTimeWithoutSilentDaemon kills a daemon. The windows
// after that must still be reported by their deadline.
func TestWindowsAreReportedInTimeWithoutSilentDaemon(t *testing.T) {
	withFixture(t, func(f *fixture) {
		defer f.killOne()()
		for range 30 {
			time.Sleep(time.Second)
			last := windowOf(f.time.Now(), windowLength) - 3
			reported, _ := f.sink.reported(last)
			previousReported, _ := f.sink.reported(last - 1)
			must.True(t, reported || !previousReported, must.Sprint("a window is overdue"))
		}
	})
}

// TestEndedDaemonIsNotWaitedFor kills a daemon whose end is known. The next window
// must be reported as early as with all daemons running.
func TestEndedDaemonIsNotWaitedFor(t *testing.T) {
	withFixture(t, func(f *fixture) {
		defer f.killOne()()
		f.ended.Store(ident.Host("two"), true)
		window := windowOf(f.time.Now(), windowLength) + 1
		untilClosed := window.end(windowLength).Add(closeAfter + 2*reportInterval).Sub(f.time.Now())
		time.Sleep(untilClosed)
		reported, _ := f.sink.reported(window)
		must.True(t, reported)
	})
}

// TestCheckpointIsWrittenAfterLostResponse loses the response to a write of the
// checkpoint that took effect.
func TestCheckpointIsWrittenAfterLostResponse(t *testing.T) {
	withFixture(t, func(f *fixture) {
		store := &lossyStore{Store: f.store}
		opts := f.options("one")
		opts.Store = store
		counter := NewCounter(opts)
		counter.RequestStarted("a")
		store.loseResponses = true
		must.Error(t, counter.publish(f.t.Context(), false))
		store.loseResponses = false
		counter.RequestStarted("a")
		must.Error(t, counter.publish(f.t.Context(), false), must.Sprint("the lost write changed the version"))
		must.NoError(t, counter.publish(f.t.Context(), false))
		entries, err := f.store.List(f.t.Context(), CheckpointPrefix)
		must.NoError(t, err)
		must.Len(t, 1, entries)
		checkpoint, err := DecodeCheckpoint(entries[0].Value)
		must.NoError(t, err)
		must.Eq(t, uint64(2), checkpoint.Windows[windowOf(f.time.Now(), windowLength)]["a"])
	})
}

// TestWriteAfterTheLastCheckpointKeepsItsMark lets a periodic write come just after a
// graceful shutdown has written the last checkpoint. Without the mark, the daemon's
// windows would be waited for although it has left.
func TestWriteAfterTheLastCheckpointKeepsItsMark(t *testing.T) {
	withFixture(t, func(f *fixture) {
		counter := NewCounter(f.options("one"))
		counter.RequestStarted("a")
		must.NoError(t, counter.Leave(f.t.Context()))
		must.NoError(t, counter.publish(f.t.Context(), false))
		entries, err := f.store.List(f.t.Context(), CheckpointPrefix)
		must.NoError(t, err)
		checkpoint, err := DecodeCheckpoint(entries[0].Value)
		must.NoError(t, err)
		must.True(t, checkpoint.Left)
	})
}

// TestSteadyWallClockDoesNotStep checks that SteadyWallClock advances with the given
// clock and not with the time of day.
func TestSteadyWallClockDoesNotStep(t *testing.T) {
	c := &manualClock{}
	steady := NewSteadyWallClock(c)
	before := steady.Now()
	c.now = 7 * time.Second
	must.Eq(t, 7*time.Second, steady.Now().Sub(before))
}

// manualClock is a clock that the test sets.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

// TestCountsOfRefusedDaemonAreReported has the store refuse all writes of one
// daemon, which hands its checkpoints over until it stops.
func TestCountsOfRefusedDaemonAreReported(t *testing.T) {
	withFixture(t, func(f *fixture) {
		ctx, cancel := context.WithCancel(f.t.Context())
		defer cancel()
		log := slog.New(slog.DiscardHandler)
		standby := NewStandbyWriter(f.store, log)
		go func() { _ = standby.Run(ctx) }()
		f.startCounter(ctx, "one")
		opts := f.options("two")
		opts.Store = refusingStore{f.store}
		opts.HandOver = func(message CheckpointMessage) { must.NoError(f.t, standby.Hold(message)) }
		refused := NewCounter(opts)
		alive, stop := context.WithCancel(ctx)
		go func() { _ = refused.Run(alive) }()
		go f.report(ctx, &fakeAuthority{})
		for range 80 {
			refused.RequestStarted("a")
			time.Sleep(100 * time.Millisecond)
		}
		stop()
		leaving, end := context.WithTimeout(ctx, time.Second)
		must.Error(f.t, refused.Leave(leaving))
		end()
		time.Sleep(12 * time.Second)
		must.Eq(f.t, uint64(80), f.total("a"))
		must.MapEmpty(f.t, standby.held)
	})
}

// TestOlderCheckpointNeverReplacesNewer hands over two checkpoints out of order.
func TestOlderCheckpointNeverReplacesNewer(t *testing.T) {
	withFixture(t, func(f *fixture) {
		standby := NewStandbyWriter(f.store, slog.New(slog.DiscardHandler))
		at := func(d time.Duration, n uint64) CheckpointMessage {
			value, err := encode(&Checkpoint{Host: "h", Through: time.Unix(100, 0).Add(d), Windows: map[Window]Counts{1: {"a": n}}})
			must.NoError(f.t, err)
			return CheckpointMessage{Checkpoint: value, Refused: true}
		}
		must.NoError(f.t, standby.Hold(at(time.Second, 2)))
		standby.flush(f.t.Context())
		must.NoError(f.t, standby.Hold(at(0, 1)))
		standby.flush(f.t.Context())
		entries, err := f.store.List(f.t.Context(), CheckpointPrefix)
		must.NoError(f.t, err)
		stored, err := DecodeCheckpoint(entries[0].Value)
		must.NoError(f.t, err)
		must.Eq(f.t, uint64(2), stored.Windows[1]["a"])
		must.Error(f.t, standby.Hold(CheckpointMessage{Checkpoint: []byte("{")}))
	})
}

// TestLargeFleetWritesRarely has one daemon of eighty count the requests of 80
// workspaces for a minute, while its windows are closed. It bounds the number of
// writes and their mean size.
func TestLargeFleetWritesRarely(t *testing.T) {
	const seconds, workspaces = 60, 80
	// windowBytes bounds the encoded size of a window's counts.
	const windowBytes = workspaces * 20
	withFixture(t, func(f *fixture) {
		ctx, cancel := context.WithCancel(f.t.Context())
		defer cancel()
		store := &countingStore{Store: f.store}
		opts := f.options("one")
		opts.Store, opts.Daemons = store, func() int { return 80 }
		counter := NewCounter(opts)
		follower := mirror.New(mirror.Options{
			Store: f.store, Pause: time.Second, CallTimeout: time.Second, Log: opts.Log,
		}, counter)
		go func() { _ = counter.Run(ctx) }()
		go func() { _ = follower.Run(ctx) }()
		go f.report(ctx, &fakeAuthority{})
		for range seconds * 10 {
			for n := range workspaces {
				counter.RequestStarted(ident.Workspace(fmt.Sprintf("space-%d", n)))
			}
			time.Sleep(100 * time.Millisecond)
		}
		must.LessEq(t, seconds/4+1, store.writes.Load())
		must.LessEq(t, 4*windowBytes, store.bytes.Load()/store.writes.Load())
	})
}

// TestCountsOfKilledDaemonAreReported kills a daemon of a large fleet between two
// of its writes. Its last checkpoint is with another daemon.
func TestCountsOfKilledDaemonAreReported(t *testing.T) {
	withFixture(t, func(f *fixture) {
		ctx, cancel := context.WithCancel(f.t.Context())
		defer cancel()
		standby := NewStandbyWriter(f.store, slog.New(slog.DiscardHandler))
		go func() { _ = standby.Run(ctx) }()
		opts := f.options("one")
		opts.Daemons = func() int { return 80 }
		opts.HandOver = func(message CheckpointMessage) { must.NoError(f.t, standby.Hold(message)) }
		dying, kill := context.WithCancel(ctx)
		counter := NewCounter(opts)
		go func() { _ = counter.Run(dying) }()
		go f.report(ctx, &fakeAuthority{})
		time.Sleep(1500 * time.Millisecond)
		for range 30 {
			counter.RequestStarted("a")
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(checkpointInterval)
		kill()
		time.Sleep(15 * time.Second)
		must.Eq(t, uint64(30), f.total("a"))
		must.MapEmpty(t, standby.held)
	})
}
