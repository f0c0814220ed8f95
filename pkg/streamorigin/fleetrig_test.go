package streamorigin

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/mirror"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
	"amaranthplank.example/amaranthplank/pkg/storeera"
)

// testTrace is the prefix of the traces of earlier requests.
const testTrace external.Key = "trace/"

// countingStore counts the calls that change the store, and fails all calls while away is set.
type countingStore struct {
	external.Store
	writes, gets atomic.Int64
	away         atomic.Bool
	// delay is how long the answer to a read of one key takes.
	delay time.Duration
}

func (s *countingStore) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	s.writes.Add(1)
	if s.away.Load() {
		return external.NoVersion, external.ErrStoreUnavailable
	}
	return s.Store.CompareAndSwap(ctx, swap)
}

func (s *countingStore) Delete(ctx context.Context, key external.Key, version external.Version) error {
	s.writes.Add(1)
	return s.Store.Delete(ctx, key, version)
}

func (s *countingStore) Grant(ctx context.Context, ttl time.Duration) (external.LeaseID, error) {
	s.writes.Add(1)
	return s.Store.Grant(ctx, ttl)
}

func (s *countingStore) Get(ctx context.Context, key external.Key) (external.Entry, error) {
	s.gets.Add(1)
	if s.away.Load() {
		return external.Entry{}, external.ErrStoreUnavailable
	}
	entry, err := s.Store.Get(ctx, key)
	time.Sleep(s.delay)
	return entry, err
}

func (s *countingStore) Watch(ctx context.Context, prefix external.Key, after external.Cursor) (external.Changes, error) {
	if s.away.Load() {
		return external.Changes{}, external.ErrStoreUnavailable
	}
	return s.Store.Watch(ctx, prefix, after)
}

// daemonStore is the store as one daemon reaches it. It brings no changes while deaf is set.
type daemonStore struct {
	*countingStore
	deaf atomic.Bool
}

func (s *daemonStore) Watch(ctx context.Context, prefix external.Key, after external.Cursor) (external.Changes, error) {
	if s.deaf.Load() {
		return external.Changes{}, external.ErrStoreUnavailable
	}
	return s.countingStore.Watch(ctx, prefix, after)
}

// originFleet is several daemons' tables over one store, in fake time.
type originFleet struct {
	t      *testing.T
	memory *memstore.Store
	store  *countingStore
	tables []*testTable
	// stores are the store as each daemon reaches it.
	stores []*daemonStore
	cancel context.CancelFunc
	// retention is the time in force in which streams may be taken up, in nanoseconds.
	retention atomic.Int64
}

// withOrigins runs a test over a store that was used before, if traced is set.
func withOrigins(t *testing.T, traced bool, body func(f *originFleet)) {
	synctest.Test(t, func(t *testing.T) {
		memory := memstore.New(clock.NewRuntime())
		f := &originFleet{t: t, memory: memory, store: &countingStore{Store: memory}}
		f.retention.Store(int64(testRetention))
		key := external.Key("configuration")
		if traced {
			key = testTrace + "a"
		}
		_, err := memory.CompareAndSwap(t.Context(), external.Swap{Key: key, Value: []byte("x")})
		must.NoError(t, err)
		body(f)
		f.end()
	})
}

// start starts daemons whose views have one target for each version, and waits until they
// have read the store.
func (f *originFleet) start(daemons int, versions ...ident.SoftwareVersion) {
	ctx, cancel := context.WithCancel(f.t.Context())
	f.cancel, f.tables, f.stores = cancel, nil, nil
	var hosts []ident.Host
	for i := range daemons {
		hosts = append(hosts, ident.Host(fmt.Sprint("host-", i)))
	}
	log := slog.New(slog.DiscardHandler)
	for _, self := range hosts {
		table := &testTable{}
		table.see(versions...)
		reached := &daemonStore{countingStore: f.store}
		f.stores = append(f.stores, reached)
		guard := storeera.New(reached, log, prometheus.NewRegistry())
		var m *mirror.Mirror
		table.Table = New(Options{
			View: table, Now: time.Now, Retention: func() time.Duration { return time.Duration(f.retention.Load()) },
			Age: func() (time.Duration, bool) { return m.Age() }, Log: log, Registerer: prometheus.NewRegistry(),
		})
		records := NewRecords(table.Table, RecordOptions{
			Self: self, Store: guard, Hosts: func() []ident.Host { return hosts }, Log: log,
			TracePrefix: testTrace, HasRequests: func(value []byte) bool { return len(value) > 0 },
		})
		streams := NewStoreCopy(table.Table, CopyOptions{Self: self, Store: guard, Daemons: func() int { return daemons }, Log: log})
		m = mirror.New(mirror.Options{Store: guard, Pause: 400 * time.Millisecond, CallTimeout: mirror.DefaultCallTimeout, Log: log}, records, streams)
		for _, run := range []func(context.Context) error{m.Run, table.Run, records.Run, streams.Run} {
			go func() { _ = run(ctx) }()
		}
		f.tables = append(f.tables, table)
	}
	time.Sleep(time.Millisecond)
	synctest.Wait()
}

// end ends all daemons.
func (f *originFleet) end() {
	f.cancel()
	synctest.Wait()
}

// see changes the view of all daemons.
func (f *originFleet) see(versions ...ident.SoftwareVersion) {
	for _, table := range f.tables {
		table.see(versions...)
	}
}

// all returns what all daemons answer for a stream, if they agree.
func (f *originFleet) all(id ident.Request) string {
	answer := f.tables[0].versionOf(f.t, id)
	for _, table := range f.tables[1:] {
		must.Eq(f.t, answer, table.versionOf(f.t, id))
	}
	return answer
}
