package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Manager keeps the newest control state in memory and tracks how fresh it is. It
// receives changes from a watch of the store, from peers and from reads of the
// store, whichever comes first.
type Manager struct {
	opts    Options
	metrics *metrics
	started time.Duration

	current   atomic.Pointer[Snapshot]
	holds     atomic.Pointer[HoldsSnapshot]
	freshness atomic.Pointer[Freshness]
	// wasFresh is set once the control state has been fresh. It is read without
	// mu, since package membership calls Loaded while holding its own lock.
	wasFresh atomic.Bool

	// inbox queues messages from peers.
	inbox chan envelope
	// changed signals runExchange after a revision was loaded.
	changed chan struct{}

	mu sync.Mutex
	// values holds the loaded parts as encoded in the store.
	values map[Part][]byte
	// newestInStore holds the newest revisions that the store is known to have
	// held, including malformed ones. Invariant: it never decreases.
	newestInStore Revisions
	// marker holds the revisions that the store's marker is known to cover, and
	// markerRequested those that requestMarker requested it to cover.
	marker          Revisions
	markerRequested Revisions
	// confirmed is when the last read that confirmed the control state was
	// sent.
	confirmed    time.Duration
	hasConfirmed bool
	// rejected holds the newest malformed revision of each part.
	rejected    Revisions
	isBehind    bool
	behindSince time.Duration
	series      map[ident.Host]reportSeries
	evaluatedAt time.Duration
	// watching is set while a watch of the store is open.
	watching bool
}

var _ Source = (*Manager)(nil)

// NewManager returns a manager that has loaded nothing yet.
func NewManager(opts Options) *Manager {
	opts.setDefaults()
	m := &Manager{
		opts: opts, metrics: newMetrics(opts.Registerer), started: opts.Clock.Now(),
		inbox: make(chan envelope, inboxLimit), changed: make(chan struct{}, 1),
		values: make(map[Part][]byte), series: make(map[ident.Host]reportSeries),
	}
	m.evaluatedAt = m.started
	m.freshness.Store(&Freshness{Basis: BasisNone, Reason: "the daemon has not loaded a configuration yet"})
	if opts.Mesh != nil {
		opts.Mesh.Handle(exchangeKind, m.receive)
	}
	return m
}

// Current returns the newest configuration, or nil before the first.
func (m *Manager) Current() *Snapshot { return m.current.Load() }

// Holds returns the newest holds, or nil before the first.
func (m *Manager) Holds() *HoldsSnapshot { return m.holds.Load() }

// IsHeld reports whether the target is held and so gets no new work.
func (m *Manager) IsHeld(target ident.Target) bool { return m.Holds().IsHeld(target) }

// Freshness returns the result of the last freshness evaluation.
func (m *Manager) Freshness() Freshness { return *m.freshness.Load() }

// Ready returns nil while the daemon may serve on its control state, and
// otherwise an error of kind Unavailable. It is called for every request and
// reads the clock, so that a process resumed after a pause does not serve on an
// expired evaluation.
func (m *Manager) Ready() error {
	freshness := m.freshness.Load()
	if freshness.MayServe(m.opts.Clock.Now()) {
		return nil
	}
	reason := freshness.Reason
	if reason == "" {
		reason = "the configuration was not confirmed recently"
	}
	return fault.New(fault.Unavailable, reason, "retry the request, which may reach another host")
}

// Revisions returns the loaded revisions.
func (m *Manager) Revisions() Revisions {
	var revisions Revisions
	if current := m.Current(); current != nil {
		revisions.Config = current.Revision
	}
	if holds := m.Holds(); holds != nil {
		revisions.Holds = holds.Revision
	}
	return revisions
}

// Loaded returns the revisions to report to the other daemons. They are zero
// until the control state has been fresh once, so that a newly started process
// does not count among the hosts that have loaded an accepted revision.
func (m *Manager) Loaded() (config, holds ident.Revision) {
	if !m.wasFresh.Load() {
		return 0, 0
	}
	revisions := m.Revisions()
	return revisions.Config, revisions.Holds
}

// Run follows the store and the peers until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.runConfirm(ctx) })
	group.Go(func() error { return m.runWatch(ctx) })
	group.Go(func() error { return m.runExchange(ctx) })
	return group.Wait()
}

// sleep waits for d, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
