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

// quiet drops all lines.
var quiet = slog.New(slog.DiscardHandler)

// counting counts the calls that the store takes, and fails them on demand.
type counting struct {
	external.Store
	writes, renewals atomic.Int64
	mu               sync.Mutex
	err              error
	// lost makes the writes but loses their answers.
	lost bool
}

// trouble has calls fail, after a write was made where lost is set.
func (c *counting) trouble(err error, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err, c.lost = err, lost
}

// failure returns what calls fail with, and whether writes are made first.
func (c *counting) failure() (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost, c.err
}

func (c *counting) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	c.writes.Add(1)
	lost, failure := c.failure()
	if failure != nil && !lost {
		return 0, failure
	}
	version, err := c.Store.CompareAndSwap(ctx, swap)
	if failure != nil {
		return 0, failure
	}
	return version, err
}

func (c *counting) KeepAlive(ctx context.Context, lease external.LeaseID) error {
	c.renewals.Add(1)
	if _, failure := c.failure(); failure != nil {
		return failure
	}
	return c.Store.KeepAlive(ctx, lease)
}

// world is a store with one view that follows it.
type world struct {
	t     *testing.T
	store *counting
	view  *View
}

// inWorld runs a test in fake time.
func inWorld(t *testing.T, body func(ctx context.Context, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{t: t, store: &counting{Store: memstore.New(clock.NewRuntime())}, view: NewView("self", quiet)}
		m := mirror.New(mirror.Options{Store: w.store.Store, Pause: 400 * time.Millisecond, Wait: 700 * time.Millisecond, Log: quiet}, w.view)
		var running sync.WaitGroup
		running.Go(func() { _ = m.Run(ctx) })
		body(ctx, w)
		cancel()
		running.Wait()
		synctest.Wait()
	})
}

// daemon announces a daemon until ctx ends.
func (w *world) daemon(ctx context.Context, host ident.Host, life ident.Incarnation) {
	a := NewAnnouncer(w.store, Record{Host: host, Incarnation: life, Address: string(host) + ":1"}, quiet)
	go func() { _ = a.Run(ctx) }()
}

func TestDaemonsAreSeenAndMissed(t *testing.T) {
	inWorld(t, func(ctx context.Context, w *world) {
		leaving, leave := context.WithCancel(ctx)
		w.daemon(ctx, "self", 1)
		w.daemon(ctx, "one", 1)
		w.daemon(leaving, "two", 1)
		time.Sleep(3 * time.Second)
		must.Eq(t, 3, w.view.Daemons())
		leave()
		time.Sleep(lingerFor + 2*time.Second)
		must.Eq(t, 2, w.view.Daemons())
		must.Eq(t, "one:1", w.view.Members()[0].Address)
	})
}

func TestADaemonThatStartsAgainCountsOnce(t *testing.T) {
	inWorld(t, func(ctx context.Context, w *world) {
		first, kill := context.WithCancel(ctx)
		w.daemon(first, "one", 1)
		time.Sleep(3 * time.Second)
		kill()
		w.daemon(ctx, "one", 2)
		time.Sleep(2 * time.Second)
		members := w.view.Members()
		must.Len(t, 1, members)
		must.Eq(t, ident.Incarnation(2), members[0].Incarnation)
	})
}

// TestAFleetThatStaysCostsOnlyRenewals has 80 daemons stay for a minute: no key
// changes, so that those who follow the store are told nothing.
func TestAFleetThatStaysCostsOnlyRenewals(t *testing.T) {
	const fleet, seconds = 80, 60
	inWorld(t, func(ctx context.Context, w *world) {
		for n := range fleet {
			w.daemon(ctx, ident.Host(fmt.Sprintf("host-%d", n)), 1)
		}
		time.Sleep(seconds * time.Second)
		must.Eq(t, int64(fleet), w.store.writes.Load())
		must.LessEq(t, int64(fleet*seconds/2), w.store.renewals.Load())
		must.Eq(t, fleet+1, w.view.Daemons())
	})
}

// TestLostLeasesAreMadeGoodBeforeAnyoneIsMissed has the store drop every lease,
// as it may in an outage.
func TestLostLeasesAreMadeGoodBeforeAnyoneIsMissed(t *testing.T) {
	inWorld(t, func(ctx context.Context, w *world) {
		w.daemon(ctx, "one", 1)
		w.daemon(ctx, "two", 1)
		time.Sleep(3 * time.Second)
		w.store.trouble(external.ErrStoreUnavailable, false)
		time.Sleep(leaseTerm + 3*time.Second)
		entries, err := w.store.List(ctx, KeyPrefix)
		must.NoError(t, err)
		must.SliceEmpty(t, entries, must.Sprint("the leases lapse while no renewal comes through"))
		w.store.trouble(nil, false)
		for range 10 {
			time.Sleep(time.Second)
			must.Eq(t, 3, w.view.Daemons())
		}
	})
}

func TestAWriteWithoutAnAnswerIsMadeGood(t *testing.T) {
	inWorld(t, func(ctx context.Context, w *world) {
		w.store.trouble(external.ErrStoreUnknown, true)
		w.daemon(ctx, "one", 1)
		time.Sleep(time.Second)
		w.store.trouble(nil, false)
		time.Sleep(2 * time.Minute)
		must.Eq(t, 2, w.view.Daemons())
		entries, err := w.store.List(ctx, KeyPrefix)
		must.NoError(t, err)
		must.Len(t, 1, entries)
	})
}

// TestNobodyIsMissedWhileTheStoreCannotBeRead keeps a daemon whose key went
// before the outage.
func TestNobodyIsMissedWhileTheStoreCannotBeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := NewView("self", quiet)
		record := Record{Host: "one", Incarnation: 1}
		value, err := record.encode()
		must.NoError(t, err)
		v.Apply([]external.Entry{{Key: record.key(), Value: value}, {Key: KeyPrefix + "x", Value: []byte("{")}}, true, time.Now())
		v.Outage(time.Now(), time.Time{})
		v.Apply([]external.Entry{{Key: record.key(), Deleted: true}}, false, time.Now())
		time.Sleep(time.Minute)
		must.Eq(t, 2, v.Daemons())
		v.Outage(time.Now().Add(-time.Minute), time.Now())
		time.Sleep(lingerFor - time.Second)
		must.Eq(t, 2, v.Daemons())
		time.Sleep(2 * time.Second)
		must.Eq(t, 1, v.Daemons())
	})
}

// TestEndedLivesAreTold has a daemon killed, another start again, and a view that
// has only begun to follow the store.
func TestEndedLivesAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := NewView("self", quiet)
		must.False(t, v.Ended("one", 1), must.Sprint("nothing was read"))
		entries := make([]external.Entry, 0, 2)
		for _, host := range []ident.Host{"one", "two"} {
			record := Record{Host: host, Incarnation: 5}
			value, err := record.encode()
			must.NoError(t, err)
			entries = append(entries, external.Entry{Key: record.key(), Value: value})
		}
		v.Apply(entries, true, time.Now())
		must.True(t, v.Ended("two", 4), must.Sprint("a newer life is there"))
		must.False(t, v.Ended("two", 5))
		must.False(t, v.Ended("three", 1), must.Sprint("its key may only be missing after an outage"))
		time.Sleep(lingerFor + time.Second)
		must.True(t, v.Ended("three", 1))
		v.Apply([]external.Entry{{Key: entries[0].Key, Deleted: true}}, false, time.Now())
		must.False(t, v.Ended("one", 5), must.Sprint("it lingers"))
		time.Sleep(lingerFor + time.Second)
		v.Apply(nil, false, time.Now())
		must.True(t, v.Ended("one", 5))
		v.Outage(time.Now(), time.Time{})
		must.False(t, v.Ended("three", 1))
		v.Outage(time.Now().Add(-time.Minute), time.Now())
		must.False(t, v.Ended("three", 1))
		time.Sleep(lingerFor + time.Second)
		must.True(t, v.Ended("three", 1))
	})
}
