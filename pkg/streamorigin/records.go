package streamorigin

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"math/bits"
	"slices"
	"strings"
	"time"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/mirror"
	"amaranthplank.example/amaranthplank/pkg/rendezvous"
)

const (
	// recordInterval is the time between two checks for records to write, and callTimeout
	// bounds one call to the store.
	recordInterval = 200 * time.Millisecond
	callTimeout    = 900 * time.Millisecond
	// readDelay is the time in which the record of the host of rank 0, which writes
	// immediately, is read by the others. After it the hosts that try double in number every
	// rankDelay, until all try.
	readDelay = 1500 * time.Millisecond
	rankDelay = 200 * time.Millisecond
	// retryInterval is the pause after a write that failed.
	retryInterval = 500 * time.Millisecond
)

// RecordOptions configure Records.
type RecordOptions struct {
	Self  ident.Host
	Store external.Store
	// Hosts returns the other hosts whose daemons are present.
	Hosts func() []ident.Host
	// Pools returns the pools whose streams callers may take up again. Others are not
	// recorded. It may be nil if all are.
	Pools func() []ident.Pool
	// TracePrefix is the prefix of keys whose values show whether a fleet has served requests,
	// by HasRequests. If all keys are read and none does, no stream is older than this process.
	TracePrefix external.Key
	HasRequests func(value []byte) bool
	Log         *slog.Logger
}

// Records keeps in the store which software versions may have begun streams, so that it
// outlasts all daemons, and reads it as a mirror.Listener.
type Records struct {
	opts  RecordOptions
	table *Table
}

var _ mirror.Listener = (*Records)(nil)

// NewRecords returns the records of a table, which takes no version for the only one until
// they have been read.
func NewRecords(table *Table, opts RecordOptions) *Records {
	table.known.needed = true
	r := &Records{opts: opts, table: table}
	table.confirmer = &confirmer{read: r.readRecord, pause: r.confirmPause, pools: make(map[ident.Pool]*poolReads)}
	return r
}

// Follows reports whether a key holds a record, or is a trace of earlier requests.
func (r *Records) Follows(key external.Key) bool {
	_, isRecord := poolOfKey(key)
	return isRecord || r.isTrace(key)
}

// isTrace reports whether a key is a trace of earlier requests.
func (r *Records) isTrace(key external.Key) bool {
	return r.opts.TracePrefix != "" && strings.HasPrefix(string(key), string(r.opts.TracePrefix))
}

// Outage does nothing: the table knows the age of what was read.
func (r *Records) Outage(_, _ time.Time) {}

// Apply takes over the records in the store.
func (r *Records) Apply(entries []external.Entry, whole bool, _ time.Time) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	era, _ := external.EraOf(r.opts.Store)
	if whole {
		r.noteWhole(entries, era)
	}
	for i := range entries {
		if pool, ok := poolOfKey(entries[i].Key); ok {
			r.apply(pool, &entries[i], era)
		}
	}
}

// noteWhole takes over that all keys were read. The table's mu must be held.
func (r *Records) noteWhole(entries []external.Entry, era external.Era) {
	t := r.table
	for _, found := range t.known.pools {
		// A record that the store has lost is written again.
		found.base, found.record = external.NoVersion, record{}
	}
	if t.known.loaded {
		return
	}
	t.known.loaded, t.known.loadedIn = true, era
	t.known.traced = slices.ContainsFunc(entries, func(e external.Entry) bool { return r.isTrace(e.Key) && r.opts.HasRequests(e.Value) })
}

// apply takes over one record or its removal. The table's mu must be held.
func (r *Records) apply(pool ident.Pool, entry *external.Entry, era external.Era) {
	t := r.table
	if entry.Deleted {
		found := t.known.recordOf(pool)
		found.base, found.record = external.NoVersion, record{}
		return
	}
	got, err := decodeRecord(entry.Value)
	if err != nil {
		r.opts.Log.Error("stream versions unreadable", "key", entry.Key, "version", entry.Version, "error", err)
		return
	}
	now := t.opts.Now()
	t.retained.raise(now, got.retention())
	for _, version := range t.known.read(pool, got, entry.Version, era, now) {
		t.versionsOf(pool).see(version, now)
	}
}

// Run writes records until ctx ends.
func (r *Records) Run(ctx context.Context) error {
	return clock.Every(ctx, recordInterval, func() error {
		for _, swap := range r.due() {
			r.write(ctx, swap)
		}
		return nil
	})
}

// due returns the records that this host is to write now.
func (r *Records) due() (due []recordSwap) {
	t := r.table
	era, _ := external.EraOf(r.opts.Store)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	if !t.known.loaded || t.behind(now) {
		return nil
	}
	t.observeAll()
	for _, pool := range r.recorded() {
		found := t.known.recordOf(pool)
		wanted := r.wanted(pool, &found.record, era)
		if !t.complete(pool, now) || found.covers(&wanted) {
			found.dueSince = time.Time{}
			continue
		}
		if found.dueSince.IsZero() {
			found.dueSince = now
		}
		if now.Sub(found.dueSince) >= delayOf(r.rank(pool)) && !now.Before(found.retryAt) {
			due = append(due, recordSwap{pool: pool, record: wanted, base: found.base})
		}
	}
	return due
}

// recorded returns the observed pools that have a record, in their order. The table's mu
// must be held.
func (r *Records) recorded() []ident.Pool {
	pools := slices.SortedFunc(maps.Keys(r.table.pools), ident.ComparePools)
	if r.opts.Pools == nil {
		return pools
	}
	wanted := r.opts.Pools()
	return slices.DeleteFunc(pools, func(pool ident.Pool) bool { return !slices.Contains(wanted, pool) })
}

// wanted returns what a pool's record is to hold. A version is added while it is in the view,
// and removed once it is no longer remembered here. A record of an earlier era, or one that is
// missing, gets all versions that are remembered. The table's mu must be held.
func (r *Records) wanted(pool ident.Pool, found *record, era external.Era) record {
	t := r.table
	known := t.pools[pool]
	outdated := found.Era != era || len(found.Versions) == 0
	versions := make([]ident.SoftwareVersion, 0, len(known.seenAt))
	for version := range known.seenAt {
		if outdated || found.has(version) || known.inView[version] {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	if len(versions) == 0 {
		// The versions of a pool without targets are kept.
		return *found
	}
	return record{Era: era, Versions: versions, RetentionMs: t.retention().Milliseconds()}
}

// rank returns how many present hosts come before this one in writing a pool's record.
func (r *Records) rank(pool ident.Pool) (rank int) {
	thing := string(recordKey(pool))
	own := rendezvous.Weight(thing, r.opts.Self)
	for _, host := range r.opts.Hosts() {
		if host != r.opts.Self && rendezvous.Weight(thing, host) > own {
			rank++
		}
	}
	return rank
}

// delayOf returns how long the host of a rank waits for those before it.
func delayOf(rank int) time.Duration {
	if rank == 0 {
		return 0
	}
	return readDelay + time.Duration(bits.Len(uint(rank)))*rankDelay
}

// recordSwap is a record to write over a version of its key.
type recordSwap struct {
	pool   ident.Pool
	record record
	base   external.Version
}

// write writes one record. A record that another daemon has changed is read by the mirror
// before the next try.
func (r *Records) write(ctx context.Context, swap recordSwap) {
	value, err := json.Marshal(swap.record)
	if err != nil {
		r.opts.Log.Error("stream versions not encoded", "pool", swap.pool, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := r.opts.Store.CompareAndSwap(ctx, external.Swap{Key: recordKey(swap.pool), Value: value, Base: swap.base})
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.known.recordOf(swap.pool)
	found.retryAt = t.opts.Now().Add(retryInterval)
	if err != nil {
		r.opts.Log.Info("stream versions not written, retrying", "pool", swap.pool, "error", err)
		return
	}
	if found.base < version {
		found.record, found.base, found.dueSince = swap.record, version, time.Time{}
	}
	r.opts.Log.Info("stream versions written", "pool", swap.pool, "versions", swap.record.Versions, "era", swap.record.Era)
}
