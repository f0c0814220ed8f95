package storeera

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
)

// driller is a store that goes back to its snapshot before or after the next call.
type driller struct {
	*memstore.Store
	snapshot *memstore.Snapshot
	before   bool
}

// drill goes back to the snapshot if before is set, and resets it.
func (d *driller) drill() {
	if d.before {
		d.before = false
		d.Restore(d.snapshot)
	}
}

func (d *driller) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	d.drill()
	return d.Store.CompareAndSwap(ctx, swap)
}

func (d *driller) KeepAlive(ctx context.Context, lease external.LeaseID) error {
	d.drill()
	return d.Store.KeepAlive(ctx, lease)
}

func (d *driller) Watch(ctx context.Context, prefix external.Key, after external.Cursor) (external.Changes, error) {
	d.drill()
	return d.Store.Watch(ctx, prefix, after)
}

// fixture is a guarded store, another user's guard of the same store, and what the
// first one logged.
type fixture struct {
	t        *testing.T
	store    *driller
	guard    *Guard
	other    *Guard
	log      bytes.Buffer
	registry *prometheus.Registry
}

// newFixture returns a store with a snapshot in which key "k" has the value "old".
func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, store: &driller{Store: memstore.New(clock.Boot{})}, registry: prometheus.NewRegistry()}
	f.guard = New(f.store, slog.New(slog.NewTextHandler(&f.log, nil)), f.registry)
	f.other = New(f.store.Store, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	f.put(f.guard, external.Swap{Key: "k", Value: []byte("old")})
	f.store.snapshot = f.store.Snapshot()
	return f
}

// put writes a key, and fails the test if that fails.
func (f *fixture) put(store external.Store, swap external.Swap) external.Version {
	f.t.Helper()
	version, err := store.CompareAndSwap(f.t.Context(), swap)
	must.NoError(f.t, err)
	return version
}

// get returns a key's entry.
func (f *fixture) get(store external.Store) external.Entry {
	f.t.Helper()
	entry, err := store.Get(f.t.Context(), "k")
	must.NoError(f.t, err)
	return entry
}

// TestReusedRevisionIsNoSuccess guards against a conditional write whose base revision
// was given out again for another value: one that is sent after the rise is known is
// refused, one that the rise overtakes is not taken for a success.
func TestReusedRevisionIsNoSuccess(t *testing.T) {
	for _, overtaken := range []bool{false, true} {
		f := newFixture(t)
		base := f.put(f.guard, external.Swap{Key: "k", Base: f.get(f.guard).Version, Value: []byte("mine")})
		f.store.Restore(f.store.snapshot)
		reused := f.put(f.store.Store, external.Swap{Key: "k", Base: 1, Value: []byte("theirs")})
		must.Eq(t, base, reused, must.Sprint("the revision is given out again"))
		want := external.ErrStoreUnknown
		if !overtaken {
			f.get(f.guard)
			want = external.ErrVersionConflict
		}
		_, err := f.guard.CompareAndSwap(t.Context(), external.Swap{Key: "k", Base: base, Value: []byte("mine again")})
		must.ErrorIs(t, err, want)
	}
}

// TestReusedLeaseIsNotRenewed guards against renewing or revoking another process's
// lease, which the store gave the same ID after it came back.
func TestReusedLeaseIsNotRenewed(t *testing.T) {
	f := newFixture(t)
	mine, err := f.guard.Grant(t.Context(), time.Minute)
	must.NoError(t, err)
	f.store.Restore(f.store.snapshot)
	theirs, err := f.other.Grant(t.Context(), time.Minute)
	must.NoError(t, err)
	must.ErrorIs(t, f.guard.KeepAlive(t.Context(), mine), external.ErrLeaseNotFound)
	must.ErrorIs(t, f.guard.Revoke(t.Context(), mine), external.ErrLeaseNotFound)
	must.NoError(t, f.other.KeepAlive(t.Context(), theirs))
	_, err = f.guard.CompareAndSwap(t.Context(), external.Swap{Key: "new", Lease: mine})
	must.ErrorIs(t, err, external.ErrLeaseNotFound)
}

// TestVersionsRiseOverEras guards against fencing tokens that fall or repeat: a token
// is the version of a key's creation.
func TestVersionsRiseOverEras(t *testing.T) {
	f := newFixture(t)
	last := external.NoVersion
	for era := range external.Era(4) {
		version := f.put(f.guard, external.Swap{Key: "duty", Value: []byte("x")})
		must.Less(t, version, last)
		must.Eq(t, era, version.Era())
		last = version
		f.store.Restore(f.store.snapshot)
		f.get(f.guard)
	}
	must.Less(t, external.Version(1)<<53, external.NewVersion(8191, 1<<40-1), must.Sprint("a JSON number holds it exactly"))
	must.Eq(t, 412, external.NewVersion(0, 412), must.Sprint("tokens of a store without eras stay"))
}

// TestWatchStartsAnewAfterRise guards against applying events of the new era to a view
// of the old one: revisions that were given out again don't hide the rise.
func TestWatchStartsAnewAfterRise(t *testing.T) {
	f := newFixture(t)
	f.put(f.guard, external.Swap{Key: "lost", Value: []byte("x")})
	changes, err := f.guard.Watch(t.Context(), "", external.StartCursor)
	must.NoError(t, err)
	f.store.Restore(f.store.snapshot)
	for range 3 {
		f.put(f.other, external.Swap{Key: external.Key(time.Now().String()), Value: []byte("y")})
	}
	for range 2 {
		_, err = f.guard.Watch(t.Context(), "", changes.Next)
		must.ErrorIs(t, err, external.ErrHistoryGone)
	}
	changes, err = f.guard.Watch(t.Context(), "", external.StartCursor)
	must.NoError(t, err)
	must.Eq(t, external.Era(1), changes.Next.Era())
	must.Len(t, 4, changes.Entries)
}

// TestAnswersOfEarlierEraAreRefused guards against a daemon that reads the store as it
// was before it came back, although another daemon already knows of the rise.
func TestAnswersOfEarlierEraAreRefused(t *testing.T) {
	f := newFixture(t)
	f.guard.ObserveEra(1)
	_, err := f.guard.Get(t.Context(), "k")
	must.ErrorIs(t, err, errOldAnswer)
	_, err = f.guard.Watch(t.Context(), "", external.StartCursor)
	must.ErrorIs(t, err, errOldAnswer)
	_, err = f.guard.Grant(t.Context(), time.Minute)
	must.ErrorIs(t, err, external.ErrStoreUnknown)
	f.store.Restore(f.store.snapshot)
	must.Eq(t, external.Era(1), f.get(f.guard).Version.Era())
}

// TestRiseIsLoggedOnceWithBothEras guards against a rise that leaves no trace.
func TestRiseIsLoggedOnceWithBothEras(t *testing.T) {
	f := newFixture(t)
	_, risen := f.guard.Era()
	_, err := f.guard.Watch(t.Context(), "", external.StartCursor)
	must.NoError(t, err)
	f.put(f.guard, external.Swap{Key: "later", Value: []byte("x")})
	f.store.Restore(f.store.snapshot)
	f.get(f.guard)
	<-risen
	for range 2 {
		_, err = f.guard.Watch(t.Context(), "", external.StartCursor)
		must.NoError(t, err)
	}
	must.Eq(t, 1, strings.Count(f.log.String(), "store came back from an older copy"))
	must.StrContains(t, f.log.String(), "era=1 before=0 revision=1 revisionBefore=1")
	must.NoError(t, testutil.GatherAndCompare(f.registry, strings.NewReader(
		"# HELP amaranthplank_store_era How often the store has come back from an older copy, as far as is known.\n"+
			"# TYPE amaranthplank_store_era gauge\namaranthplank_store_era 1\n")))
}

// TestOvertakenCallsAreNoSuccess goes back to the snapshot while a call is on its way.
func TestOvertakenCallsAreNoSuccess(t *testing.T) {
	f := newFixture(t)
	lease, err := f.guard.Grant(t.Context(), time.Minute)
	must.NoError(t, err)
	f.store.snapshot = f.store.Snapshot()
	f.store.before = true
	_, err = f.guard.CompareAndSwap(t.Context(), external.Swap{Key: "new", Lease: lease})
	must.ErrorIs(t, err, external.ErrStoreUnknown)
	f.store.before = true
	must.ErrorIs(t, f.guard.KeepAlive(t.Context(), lease), external.ErrLeaseNotFound)
	entry := f.get(f.guard)
	f.store.before = true
	_, err = f.guard.CompareAndSwap(t.Context(), external.Swap{Key: "k", Base: entry.Version})
	must.ErrorIs(t, err, external.ErrStoreUnknown)
	_, err = f.guard.Watch(t.Context(), "", external.NewCursor(entry.Version.Era(), 1))
	must.ErrorIs(t, err, external.ErrHistoryGone)
}

// TestReusedRevisionIsNotDeleted guards against deleting another value whose revision was
// given out again, and against taking a deletion that the rise overtakes for a success.
func TestReusedRevisionIsNotDeleted(t *testing.T) {
	for _, overtaken := range []bool{false, true} {
		f := newFixture(t)
		base := f.put(f.guard, external.Swap{Key: "k", Base: f.get(f.guard).Version, Value: []byte("mine")})
		f.store.Restore(f.store.snapshot)
		f.put(f.store.Store, external.Swap{Key: "k", Base: 1, Value: []byte("theirs")})
		want := external.ErrStoreUnknown
		if !overtaken {
			f.get(f.guard)
			want = external.ErrVersionConflict
		}
		must.ErrorIs(t, f.guard.Delete(t.Context(), "k", base), want)
		if !overtaken {
			must.Eq(t, "theirs", string(f.get(f.guard).Value))
		}
	}
}

// TestRiseBetweenCheckAndSendIsNoSuccess guards against a renewal whose lease is checked
// against the era before a rise and whose answer is compared with the era after it,
// since another daemon names the new era in between. The moment is met by many tries.
func TestRiseBetweenCheckAndSendIsNoSuccess(t *testing.T) {
	f := newFixture(t)
	var next atomic.Uint64
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			f.guard.ObserveEra(external.Era(next.Load()))
		}
	}()
	for era := uint64(1); era <= 2000; era++ {
		lease, err := f.guard.Grant(t.Context(), time.Minute)
		must.NoError(t, err)
		f.store.Restore(f.store.Snapshot())
		next.Store(2*era - 1)
		must.ErrorIs(t, f.guard.KeepAlive(t.Context(), lease), external.ErrLeaseNotFound)
		f.store.Restore(f.store.Snapshot().WithoutLeases())
		next.Store(2 * era)
	}
}
