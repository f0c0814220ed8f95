package storeera

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
)

// errOldAnswer is returned for a read that was answered in an earlier era than the
// known one, or in two eras.
var errOldAnswer = fault.New(fault.Unavailable, "the store's answer is from before it came back from an older copy", "read again")

// Guard is a store whose versions, cursors and lease IDs are valid in one era only.
type Guard struct {
	store external.Store
	eras  *tracker
}

var (
	_ external.Store     = (*Guard)(nil)
	_ external.EraSource = (*Guard)(nil)
)

// New returns a guard of a store, and registers its metric.
func New(store external.Store, log *slog.Logger, registerer prometheus.Registerer) *Guard {
	g := &Guard{store: store, eras: newTracker(log)}
	registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "amaranthplank_store_era", Help: "How often the store has come back from an older copy, as far as is known.",
	}, func() float64 {
		era, _ := g.Era()
		return float64(era)
	}))
	return g
}

// Era returns the highest known era, and a channel that is closed once a higher one
// is known.
func (g *Guard) Era() (external.Era, <-chan struct{}) { return g.eras.watch() }

// ObserveEra records an era that another daemon knows. Answers of an earlier era are refused
// from then on.
func (g *Guard) ObserveEra(era external.Era) { g.eras.observe(era) }

// answer describes the answer to one call.
type answer struct {
	// sentIn is the highest era known when the call was sent, and era the one of the
	// answer.
	sentIn, era external.Era
	// stale is set if the answer is of an earlier era than the known one, or of two.
	stale bool
	// crossed is set if the answer is not of the era in which the call was sent.
	crossed bool
}

// call makes one call to the store and records the era of its answer.
func (g *Guard) call(ctx context.Context, call func(ctx context.Context) error) (answer, error) {
	sentIn, known := g.eras.current()
	return g.callFrom(ctx, sentIn, known, call)
}

// callFrom makes one call whose versions and leases were checked in an era. known is
// false if no era was known then.
func (g *Guard) callFrom(ctx context.Context, sentIn external.Era, known bool, call func(ctx context.Context) error) (answer, error) {
	recorder := &external.EraRecorder{}
	err := call(external.WithEraRecorder(ctx, recorder))
	low, high, answered := recorder.Eras()
	if !answered {
		return answer{sentIn: sentIn, era: sentIn}, err
	}
	latest := g.eras.observe(high)
	got := answer{sentIn: sentIn, era: high, stale: !latest || low != high}
	got.crossed = got.stale || known && high != sentIn
	return got, err
}

// Get returns one key.
func (g *Guard) Get(ctx context.Context, key external.Key) (entry external.Entry, err error) {
	got, err := g.call(ctx, func(ctx context.Context) (err error) {
		entry, err = g.store.Get(ctx, key)
		return err
	})
	if got.stale {
		return external.Entry{}, errOldAnswer
	}
	return entryIn(got.era, entry), err
}

// List returns the entries whose keys start with prefix.
func (g *Guard) List(ctx context.Context, prefix external.Key) (entries []external.Entry, err error) {
	got, err := g.call(ctx, func(ctx context.Context) (err error) {
		entries, err = g.store.List(ctx, prefix)
		return err
	})
	if got.stale {
		return nil, errOldAnswer
	}
	return entriesIn(got.era, entries), err
}

// CompareAndSwap writes the value if the key is at the base version. A base version of
// an earlier era fails with ErrVersionConflict. A write that succeeds after the era has
// risen may have found another value at the same revision, or another process's lease,
// and fails with ErrStoreUnknown.
func (g *Guard) CompareAndSwap(ctx context.Context, swap external.Swap) (version external.Version, err error) {
	era, known := g.eras.current()
	if swap.Base != external.NoVersion && swap.Base.Era() != era {
		return external.NoVersion, external.ErrVersionConflict
	}
	swap.Base = external.Version(swap.Base.Revision())
	swap.Lease = leaseIn(era, swap.Lease)
	got, err := g.callFrom(ctx, era, known, func(ctx context.Context) (err error) {
		version, err = g.store.CompareAndSwap(ctx, swap)
		return err
	})
	if err != nil {
		return external.NoVersion, err
	}
	if got.crossed {
		return external.NoVersion, external.ErrStoreUnknown
	}
	g.eras.noteRevision(got.era, uint64(version))
	return external.NewVersion(got.era, uint64(version)), nil
}

// Delete removes the key if it is at the given version. Versions of an earlier era and
// answers after a rise are treated as in CompareAndSwap.
func (g *Guard) Delete(ctx context.Context, key external.Key, version external.Version) error {
	era, known := g.eras.current()
	if version.Era() != era {
		return external.ErrVersionConflict
	}
	got, err := g.callFrom(ctx, era, known, func(ctx context.Context) error {
		return g.store.Delete(ctx, key, external.Version(version.Revision()))
	})
	if err == nil && got.crossed {
		return external.ErrStoreUnknown
	}
	return err
}

// Grant creates a lease of the era in which the store answered.
func (g *Guard) Grant(ctx context.Context, ttl time.Duration) (lease external.LeaseID, err error) {
	got, err := g.call(ctx, func(ctx context.Context) (err error) {
		lease, err = g.store.Grant(ctx, ttl)
		return err
	})
	if err != nil {
		return external.NoLease, err
	}
	if got.stale {
		return external.NoLease, external.ErrStoreUnknown
	}
	return leaseIn(got.era, lease), nil
}

// KeepAlive renews a lease. It fails with ErrLeaseNotFound if the era has risen since
// the call was sent, because the lease of this ID may be another process's.
func (g *Guard) KeepAlive(ctx context.Context, lease external.LeaseID) error {
	return g.callLease(ctx, lease, g.store.KeepAlive)
}

// Revoke ends a lease and deletes the keys bound to it. A lease of an earlier era is
// gone already.
func (g *Guard) Revoke(ctx context.Context, lease external.LeaseID) error {
	return g.callLease(ctx, lease, g.store.Revoke)
}

// callLease makes a call for one lease.
func (g *Guard) callLease(ctx context.Context, lease external.LeaseID, call func(ctx context.Context, lease external.LeaseID) error) error {
	era, known := g.eras.current()
	got, err := g.callFrom(ctx, era, known, func(ctx context.Context) error { return call(ctx, leaseIn(era, lease)) })
	if err == nil && got.crossed {
		return external.ErrLeaseNotFound
	}
	return err
}

// Watch returns the changes after the cursor. It fails with ErrHistoryGone if the era
// has risen since the cursor was read, whether or not the store has its revision.
func (g *Guard) Watch(ctx context.Context, prefix external.Key, after external.Cursor) (changes external.Changes, err error) {
	era, _ := g.eras.current()
	if after != external.StartCursor && after.Era() != era {
		return external.Changes{}, external.ErrHistoryGone
	}
	got, err := g.call(ctx, func(ctx context.Context) (err error) {
		changes, err = g.store.Watch(ctx, prefix, external.Cursor(after.Revision()))
		return err
	})
	if err != nil {
		return external.Changes{}, err
	}
	if got.stale {
		return external.Changes{}, errOldAnswer
	}
	if after != external.StartCursor && got.era != after.Era() {
		return external.Changes{}, external.ErrHistoryGone
	}
	g.eras.noteRevision(got.era, uint64(changes.Next))
	changes.Next = external.NewCursor(got.era, uint64(changes.Next))
	changes.Entries = entriesIn(got.era, changes.Entries)
	return changes, nil
}
