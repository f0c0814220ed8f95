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

// Manager keeps the newest control state in memory and knows how fresh it is.
// It learns of changes from a watch of the store, from peers and from reads of
// the store, whichever comes first.
type Manager struct {
	opts    Options
	metrics *metrics
	started time.Duration

	current atomic.Pointer[Snapshot]
	holds   atomic.Pointer[HoldsSnapshot]
	verdict atomic.Pointer[Verdict]
	// loaded is set once the control state was fresh for the first time. It is
	// read without mu, since the membership asks for it under its own lock.
	loaded atomic.Bool

	// inbox holds the peers' messages that wait to be read.
	inbox chan envelope
	// changed wakes the exchange with peers after a load.
	changed chan struct{}

	mu sync.Mutex
	// values holds the loaded parts as they stand in the store.
	values map[Part][]byte
	// seen is the newest of each part that the store has shown, malformed ones
	// included. Invariant: seen never falls.
	seen Revisions
	// marker is the newest that was read or raised, and wanted what it should
	// name, since a writer waits for it.
	marker Revisions
	wanted Revisions
	// confirmed is when the newest confirming read was sent.
	confirmed    time.Duration
	hasConfirmed bool
	// rejected is the newest of each part that was malformed.
	rejected    Revisions
	behind      bool
	behindSince time.Duration
	runs        map[ident.Host]run
	evaluatedAt time.Duration
	// watching is set while a watch of the store is open.
	watching bool
}

var _ Source = (*Manager)(nil)

// NewManager returns a manager that has read nothing yet.
func NewManager(opts Options) *Manager {
	opts.fill()
	m := &Manager{
		opts: opts, metrics: newMetrics(opts.Registerer), started: opts.Clock.Now(),
		inbox: make(chan envelope, inboxLimit), changed: make(chan struct{}, 1),
		values: make(map[Part][]byte), runs: make(map[ident.Host]run),
	}
	m.evaluatedAt = m.started
	m.verdict.Store(&Verdict{Basis: BasisNone, Reason: "no configuration was loaded yet"})
	if opts.Mesh != nil {
		opts.Mesh.Handle(exchangeKind, m.receive)
	}
	return m
}

// Current returns the newest configuration, or nil before the first.
func (m *Manager) Current() *Snapshot { return m.current.Load() }

// Holds returns the newest holds, or nil before the first.
func (m *Manager) Holds() *HoldsSnapshot { return m.holds.Load() }

// Held reports whether a target gets no new work.
func (m *Manager) Held(target ident.Target) bool { return m.Holds().Held(target) }

// Verdict returns what was last decided on the freshness.
func (m *Manager) Verdict() Verdict { return *m.verdict.Load() }

// Ready returns nil while the daemon may serve on its control state. Its error
// is of kind Unavailable. It is called for every request, and reads the clock,
// so that a process that was paused does not go on by an old verdict.
func (m *Manager) Ready() error {
	verdict := m.verdict.Load()
	if verdict.Serve(m.opts.Clock.Now()) {
		return nil
	}
	reason := verdict.Reason
	if reason == "" {
		reason = "the configuration was not confirmed lately"
	}
	return fault.New(fault.Unavailable, reason, "send the request again, which may reach another host")
}

// Revisions returns the revisions that are loaded.
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

// Loaded returns the revisions to state to the other daemons. They are zero
// until the control state was fresh once, so that a fresh process does not
// count among the hosts that know what was accepted.
func (m *Manager) Loaded() (config, holds ident.Revision) {
	if !m.loaded.Load() {
		return 0, 0
	}
	revisions := m.Revisions()
	return revisions.Config, revisions.Holds
}

// Run follows the store and the peers until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.runConfirm(ctx) })
	group.Go(func() error { return m.runWatch(ctx) })
	group.Go(func() error { return m.runExchange(ctx) })
	return group.Wait()
}

// sleep waits, or returns early when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
