package tally

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
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
)

const windowLength = 5 * time.Second

// fakeSink accepts reports as the platform does: a repeated report must have the
// same counts.
type fakeSink struct {
	t       *testing.T
	mu      sync.Mutex
	reports map[Window]Counts
	// err is returned by Report. With lost set the report is accepted first.
	err  error
	lost bool
}

func (s *fakeSink) Report(_ context.Context, window Window, counts Counts, _ ident.FencingToken) error {
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

// fail makes Report return err, after it accepted the report if lost is set.
func (s *fakeSink) fail(err error, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err, s.lost = err, lost
}

// reported returns whether a window was reported, and the number of reported ones.
func (s *fakeSink) reported(window Window) (ok bool, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok = s.reports[window]
	return ok, len(s.reports)
}

// fakeAuthority is a lease.Authority that holds unless lost is set.
type fakeAuthority struct{ lost bool }

func (a *fakeAuthority) Duty() ident.Duty            { return "usage" }
func (a *fakeAuthority) Fencing() ident.FencingToken { return 7 }

func (a *fakeAuthority) Call(ctx context.Context, send func(ctx context.Context) error) error {
	return lease.CallUnder(ctx, a, send)
}

func (a *fakeAuthority) Check() error {
	if a.lost {
		return fault.New(fault.Fenced, "lost", "stop")
	}
	return nil
}

// fixture holds the store, the clock and the sink of a test.
type fixture struct {
	t     *testing.T
	store *memstore.Store
	time  *SteadyWallClock
	sink  *fakeSink
	// ended holds the hosts whose daemons are known to have ended.
	ended sync.Map
}

// hasEnded reports whether a daemon is known to have ended.
func (f *fixture) hasEnded(host ident.Host, _ ident.Incarnation) bool {
	_, ok := f.ended.Load(host)
	return ok
}

// withFixture runs a test in fake time.
func withFixture(t *testing.T, body func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.NewRuntime()
		body(&fixture{t: t, store: memstore.New(c), time: NewSteadyWallClock(c), sink: &fakeSink{t: t, reports: make(map[Window]Counts)}})
	})
}

// startCounter runs the counter of a daemon until ctx ends.
func (f *fixture) startCounter(ctx context.Context, host ident.Host) *Counter {
	counter := NewCounter(f.options(host))
	go func() { _ = counter.Run(ctx) }()
	return counter
}

// options returns the counter options of a daemon in a fleet of eight.
func (f *fixture) options(host ident.Host) CounterOptions {
	return CounterOptions{
		Host: host, Incarnation: 1, Store: f.store, Time: f.time, Window: windowLength,
		Daemons: func() int { return 8 }, Log: slog.New(slog.DiscardHandler),
	}
}

// report runs a reporter until ctx ends.
func (f *fixture) report(ctx context.Context, authority *fakeAuthority) {
	f.reportFrom(ctx, authority, f.store)
}

// reportFrom runs a reporter that reads the checkpoints from the given store.
func (f *fixture) reportFrom(ctx context.Context, authority *fakeAuthority, store external.Store) {
	reporter := &Reporter{
		Store: store, Sink: f.sink, Time: f.time, Window: windowLength, ReportDeadline: 10 * time.Second,
		Windows: NewWindowMemory(f.store, f.time, slog.New(slog.DiscardHandler)), Ended: f.hasEnded, Log: slog.New(slog.DiscardHandler),
	}
	_ = reporter.Work(ctx, authority)
}

// total adds up the reported counts of a workspace.
func (f *fixture) total(workspace ident.Workspace) (sum uint64) {
	f.sink.mu.Lock()
	defer f.sink.mu.Unlock()
	for _, counts := range f.sink.reports {
		sum += counts[workspace]
	}
	return sum
}
