package presence

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
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/mirror"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
)

// discardLog drops all log lines.
var discardLog = slog.New(slog.DiscardHandler)

// faultyStore counts writes and renewals, and fails them on demand.
type faultyStore struct {
	external.Store
	writes, renewals atomic.Int64
	mu               sync.Mutex
	err              error
	// afterWrite makes the writes take effect before they fail.
	afterWrite bool
}

// failWith makes calls fail, writes only after they took effect if afterWrite is
// set.
func (s *faultyStore) failWith(err error, afterWrite bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err, s.afterWrite = err, afterWrite
}

// failure returns whether writes take effect first, and the error that calls fail
// with.
func (s *faultyStore) failure() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.afterWrite, s.err
}

func (s *faultyStore) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	s.writes.Add(1)
	afterWrite, failure := s.failure()
	if failure != nil && !afterWrite {
		return 0, failure
	}
	version, err := s.Store.CompareAndSwap(ctx, swap)
	if failure != nil {
		return 0, failure
	}
	return version, err
}

func (s *faultyStore) KeepAlive(ctx context.Context, lease external.LeaseID) error {
	s.renewals.Add(1)
	if _, failure := s.failure(); failure != nil {
		return failure
	}
	return s.Store.KeepAlive(ctx, lease)
}

// fixture is a store and a view that follows it.
type fixture struct {
	t     *testing.T
	store *faultyStore
	view  *View
}

// withFixture runs a test in fake time.
func withFixture(t *testing.T, body func(ctx context.Context, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fixture{t: t, store: &faultyStore{Store: memstore.New(clock.NewRuntime())}, view: NewView("self", discardLog)}
		m := mirror.New(mirror.Options{Store: f.store.Store, Pause: 400 * time.Millisecond, CallTimeout: 700 * time.Millisecond, Log: discardLog}, f.view)
		var running sync.WaitGroup
		running.Go(func() { _ = m.Run(ctx) })
		body(ctx, f)
		cancel()
		running.Wait()
		synctest.Wait()
	})
}

// announce runs the announcer of a daemon until ctx ends.
func (f *fixture) announce(ctx context.Context, host ident.Host, incarnation ident.Incarnation) {
	a := NewAnnouncer(f.store, Record{Host: host, Incarnation: incarnation, Address: string(host) + ":1"}, discardLog)
	go func() { _ = a.Run(ctx) }()
}

func TestMembersFollowStartAndStop(t *testing.T) {
	withFixture(t, func(ctx context.Context, f *fixture) {
		leaving, leave := context.WithCancel(ctx)
		f.announce(ctx, "self", 1)
		f.announce(ctx, "one", 1)
		f.announce(leaving, "two", 1)
		time.Sleep(3 * time.Second)
		must.Eq(t, 3, f.view.Daemons())
		leave()
		time.Sleep(gracePeriod + 2*time.Second)
		must.Eq(t, 2, f.view.Daemons())
		must.Eq(t, "one:1", f.view.Members()[0].Address)
	})
}

func TestRestartedDaemonCountsOnce(t *testing.T) {
	withFixture(t, func(ctx context.Context, f *fixture) {
		first, kill := context.WithCancel(ctx)
		f.announce(first, "one", 1)
		time.Sleep(3 * time.Second)
		kill()
		f.announce(ctx, "one", 2)
		time.Sleep(2 * time.Second)
		members := f.view.Members()
		must.Len(t, 1, members)
		must.Eq(t, ident.Incarnation(2), members[0].Incarnation)
	})
}

// TestStableFleetOnlyRenewsLeases runs 80 daemons for a minute. Each must write its
// key once and then only renew its lease, so that watches receive no changes.
func TestStableFleetOnlyRenewsLeases(t *testing.T) {
	const fleet, seconds = 80, 60
	withFixture(t, func(ctx context.Context, f *fixture) {
		for n := range fleet {
			f.announce(ctx, ident.Host(fmt.Sprintf("host-%d", n)), 1)
		}
		time.Sleep(seconds * time.Second)
		must.Eq(t, int64(fleet), f.store.writes.Load())
		must.LessEq(t, int64(fleet*seconds/2), f.store.renewals.Load())
		must.Eq(t, fleet+1, f.view.Daemons())
	})
}

// TestNoDaemonExpiresWhenLeasesAreLost lets every lease expire while the store
// fails. The daemons must write their keys again within the grace period.
func TestNoDaemonExpiresWhenLeasesAreLost(t *testing.T) {
	withFixture(t, func(ctx context.Context, f *fixture) {
		f.announce(ctx, "one", 1)
		f.announce(ctx, "two", 1)
		time.Sleep(3 * time.Second)
		f.store.failWith(external.ErrStoreUnavailable, false)
		time.Sleep(leaseTTL + 3*time.Second)
		entries, err := f.store.List(ctx, KeyPrefix)
		must.NoError(t, err)
		must.SliceEmpty(t, entries, must.Sprint("the leases expire without renewals"))
		f.store.failWith(nil, false)
		for range 10 {
			time.Sleep(time.Second)
			must.Eq(t, 3, f.view.Daemons())
		}
	})
}

func TestKeyIsWrittenAfterLostResponse(t *testing.T) {
	withFixture(t, func(ctx context.Context, f *fixture) {
		f.store.failWith(external.ErrStoreUnknown, true)
		f.announce(ctx, "one", 1)
		time.Sleep(time.Second)
		f.store.failWith(nil, false)
		time.Sleep(2 * time.Minute)
		must.Eq(t, 2, f.view.Daemons())
		entries, err := f.store.List(ctx, KeyPrefix)
		must.NoError(t, err)
		must.Len(t, 1, entries)
	})
}

// TestNoDaemonExpiresDuringOutage checks that a daemon whose key is removed during an
// outage counts as present until a grace period after the outage. An undecodable
// record is skipped.
func TestNoDaemonExpiresDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := NewView("self", discardLog)
		record := Record{Host: "one", Incarnation: 1}
		value, err := record.encode()
		must.NoError(t, err)
		v.Apply([]external.Entry{{Key: record.key(), Value: value}, {Key: KeyPrefix + "x", Value: []byte("{")}}, true, time.Now())
		v.Outage(time.Now(), time.Time{})
		v.Apply([]external.Entry{{Key: record.key(), Deleted: true}}, false, time.Now())
		time.Sleep(time.Minute)
		must.Eq(t, 2, v.Daemons())
		v.Outage(time.Now().Add(-time.Minute), time.Now())
		time.Sleep(gracePeriod - time.Second)
		must.Eq(t, 2, v.Daemons())
		time.Sleep(2 * time.Second)
		must.Eq(t, 1, v.Daemons())
	})
}

// TestEndedIncarnations checks Ended for a restarted daemon, for one whose key was
// removed, for one that never had a key, and after an outage.
func TestEndedIncarnations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := NewView("self", discardLog)
		must.False(t, v.Ended("one", 1), must.Sprint("nothing was read"))
		entries := make([]external.Entry, 0, 2)
		for _, host := range []ident.Host{"one", "two"} {
			record := Record{Host: host, Incarnation: 5}
			value, err := record.encode()
			must.NoError(t, err)
			entries = append(entries, external.Entry{Key: record.key(), Value: value})
		}
		v.Apply(entries, true, time.Now())
		must.True(t, v.Ended("two", 4), must.Sprint("the host has a newer incarnation"))
		must.False(t, v.Ended("two", 5))
		must.False(t, v.Ended("three", 1), must.Sprint("its key may still have to be written again"))
		time.Sleep(gracePeriod + time.Second)
		must.True(t, v.Ended("three", 1))
		v.Apply([]external.Entry{{Key: entries[0].Key, Deleted: true}}, false, time.Now())
		must.False(t, v.Ended("one", 5), must.Sprint("its grace period is not over"))
		time.Sleep(gracePeriod + time.Second)
		v.Apply(nil, false, time.Now())
		must.True(t, v.Ended("one", 5))
		v.Outage(time.Now(), time.Time{})
		must.False(t, v.Ended("three", 1))
		v.Outage(time.Now().Add(-time.Minute), time.Now())
		must.False(t, v.Ended("three", 1))
		time.Sleep(gracePeriod + time.Second)
		must.True(t, v.Ended("three", 1))
	})
}
