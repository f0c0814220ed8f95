package streamorigin

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// maxStreams bounds the streams that are remembered. The oldest make room.
	maxStreams = 1 << 16
	// maxUnsent bounds the streams of one version that wait for the next report.
	maxUnsent = 1 << 12
	// viewLag is how long after a pause of the process its view may be behind those of
	// other daemons.
	viewLag = 3 * time.Second
	// longestGap is the longest time between two observations without a pause.
	longestGap = 2*observeInterval + time.Second
	// observeInterval is the time between two observations of the view.
	observeInterval = time.Second
)

// Options configure a Table.
type Options struct {
	View fleet.View
	// Now returns the time by a clock that runs while the host is suspended.
	Now func() time.Time
	// Retention returns how long after its beginning, or after it was last taken up, a stream
	// may be taken up by the configuration in force, or zero if that is not known.
	Retention func() time.Duration
	// Age returns an upper bound of the view's age, or false before it was first read. It
	// may be nil if the view is never behind.
	Age func() (time.Duration, bool)
	// Ask asks other daemons for a stream of a pool that is not known. It may be nil.
	Ask        func(pool ident.Pool, key []byte)
	Log        *slog.Logger
	Registerer prometheus.Registerer
}

// origin is what is known of a stream's beginning.
type origin struct {
	version ident.SoftwareVersion
	pool    ident.Pool
	at      time.Time
}

// versionOfPool is a software version of a pool's targets.
type versionOfPool struct {
	pool    ident.Pool
	version ident.SoftwareVersion
}

// agedStream is a stream in the order in which streams became known.
type agedStream struct {
	key streamKey
	at  time.Time
}

// Table holds the software versions that began streams. It is safe for concurrent use.
type Table struct {
	opts    Options
	lookups *prometheus.CounterVec

	mu sync.Mutex
	// observedAt is when the view was last observed by Run, and behindUntil the end of the
	// time after a pause in which it may be behind.
	observedAt, behindUntil time.Time

	startedAt time.Time
	retained  retention
	known     knowledge
	pools     map[ident.Pool]*poolVersions
	origins   map[streamKey]origin
	// order holds the streams from the oldest to the newest.
	order []agedStream
	// running are the streams begun here that were not complete yet.
	running *runningStreams
	// confirmer reads the records on which only relies, or is nil without records.
	confirmer *confirmer
	// unsent are the streams that the neighbors are still to be sent.
	unsent map[versionOfPool][]byte
	// learned is closed when streams were added, and replaced.
	learned chan struct{}
}

// New returns a table without streams.
func New(opts Options) *Table {
	return &Table{
		opts: opts, startedAt: opts.Now(), known: newKnowledge(), running: newRunningStreams(),
		pools: make(map[ident.Pool]*poolVersions), origins: make(map[streamKey]origin),
		unsent: make(map[versionOfPool][]byte), learned: make(chan struct{}),
		lookups: promauto.With(opts.Registerer).NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthplank_stream_origins_total", Help: "Streams taken up again, by what was known of the software version that began them.",
		}, []string{"result"}),
	}
}

// Run observes the versions of the targets until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	return clock.Every(ctx, observeInterval, func() error {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.noticePause()
		t.observedAt = t.opts.Now()
		t.observeAll()
		return nil
	})
}

// observeAll brings the versions of all pools up to date. t.mu must be held.
func (t *Table) observeAll() {
	for _, pool := range t.opts.View.Snapshot().Pools() {
		t.observe(pool)
	}
}

// behind reports whether the view may be behind those of other daemons: after a pause of the
// process, or since the store could not be read for viewLag. t.mu must be held.
func (t *Table) behind(now time.Time) bool {
	if now.Before(t.behindUntil) {
		return true
	}
	if t.opts.Age == nil {
		return false
	}
	age, read := t.opts.Age()
	return !read || age > viewLag
}

// versionsOf returns the versions of a pool. t.mu must be held.
func (t *Table) versionsOf(pool ident.Pool) *poolVersions {
	versions := t.pools[pool]
	if versions == nil {
		versions = newPoolVersions()
		t.pools[pool] = versions
	}
	return versions
}

// retention returns how long after its beginning a stream is remembered. t.mu must be held.
func (t *Table) retention() time.Duration { return t.retained.update(t.opts.Now(), t.opts.Retention()) }

// complete reports whether all versions that may have begun streams of a pool are known.
// t.mu must be held.
func (t *Table) complete(pool ident.Pool, now time.Time) bool {
	return t.known.complete(pool, now, t.startedAt.Add(t.retention()))
}

// only returns the one version at which all streams of a pool began that are still taken up, as
// far as this daemon knows, or nil if there may be several. t.mu must be held.
func (t *Table) only(pool ident.Pool) *ident.SoftwareVersion {
	only := t.observe(pool).only()
	if !t.complete(pool, t.opts.Now()) {
		return nil
	}
	return only
}

// noticePause notices that the process has been paused since the last observation.
// t.mu must be held.
func (t *Table) noticePause() {
	now := t.opts.Now()
	if !t.observedAt.IsZero() && now.Sub(t.observedAt) > longestGap {
		t.behindUntil = now.Add(viewLag)
	}
}

// observe brings a pool's versions up to date. When a second one has come, the neighbors
// are to be sent the streams that the first one has begun. t.mu must be held.
func (t *Table) observe(pool ident.Pool) *poolVersions {
	versions := t.versionsOf(pool)
	if versions.observe(t.opts.View.Snapshot(), pool, t.opts.Now(), t.retention()+viewLag) {
		t.opts.Log.Info("software versions mixed", "pool", pool, "versions", len(versions.seenAt))
		for key, known := range t.origins {
			if known.pool == pool {
				t.queue(versionOfPool{pool, known.version}, key)
			}
		}
	}
	return versions
}

// Began records that a target of a software version has begun the stream of a request, or has
// gone on with it for a caller that took it up. ident.UnknownVersion counts as one more version:
// the stream then continues nowhere.
func (t *Table) Began(pool ident.Pool, id ident.Request, version ident.SoftwareVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version == ident.UnknownVersion {
		t.versionsOf(pool).see(version, t.opts.Now())
	}
	key, versions := keyOf(id), t.observe(pool)
	o := origin{version: version, pool: pool, at: t.opts.Now()}
	t.add(key, o)
	t.running.begin(key, o, t.retention())
	if !versions.mixedSince.IsZero() {
		t.queue(versionOfPool{pool, version}, key)
	}
}

// queue queues a stream for the neighbors. Without links, older ones make room. t.mu must
// be held.
func (t *Table) queue(of versionOfPool, key streamKey) {
	keys := appendKey(t.unsent[of], key)
	t.unsent[of] = keys[max(0, len(keys)-maxUnsent*streamKeyBytes):]
}

// add records a stream. t.mu must be held.
func (t *Table) add(key streamKey, o origin) {
	retention := t.retention()
	for len(t.order) > 0 && (len(t.order) >= maxStreams || o.at.Sub(t.order[0].at) > retention) {
		if known := t.origins[t.order[0].key]; known.at.Equal(t.order[0].at) {
			delete(t.origins, t.order[0].key)
		}
		t.order = t.order[1:]
	}
	t.origins[key] = o
	t.order = append(t.order, agedStream{key: key, at: o.at})
}

// TakeUnsent returns the streams that the neighbors are to be sent, once.
func (t *Table) TakeUnsent() (unsent []Origins) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for of, streams := range t.unsent {
		unsent = append(unsent, newOrigins(of.pool, of.version, streams))
		delete(t.unsent, of)
	}
	return unsent
}

// Ended records that the stream of a request was answered whole, so that it is not taken up
// again.
func (t *Table) Ended(id ident.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running.end(keyOf(id))
}

// anyMixed reports whether the targets of a pool have several versions. t.mu must be held.
func (t *Table) anyMixed() bool {
	for _, versions := range t.pools {
		if len(versions.seenAt) > 1 {
			return true
		}
	}
	return false
}

// Unrecorded returns the versions of a pool's targets that the store's record lacks, if it has
// another one of them. If all daemons ended, nothing would be known of streams begun there.
func (t *Table) Unrecorded(pool ident.Pool) (versions []ident.SoftwareVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.known.pools[pool]
	if found == nil || len(found.Versions) == 0 {
		return nil
	}
	recorded := false
	for version := range t.observe(pool).inView {
		if found.has(version) {
			recorded = true
		} else {
			versions = append(versions, version)
		}
	}
	if !recorded {
		return nil
	}
	return versions
}

// Learn records the streams that another daemon has begun. Their versions serve, also if they
// are not in the view here yet.
func (t *Table) Learn(begun []Origins) { t.learn(begun, true) }

// learn records the streams that another daemon knows. serving is set if their versions serve
// now.
func (t *Table) learn(known []Origins, serving bool) {
	if len(known) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now, retention := t.opts.Now(), t.retention()
	for i := range known {
		pool := known[i].pool()
		if serving && pool != (ident.Pool{}) {
			t.versionsOf(pool).see(known[i].Version, now)
		}
		for _, key := range splitKeys(known[i].Streams) {
			before, ok := t.origins[key]
			takenUp := serving && now.Sub(before.at) > observeInterval
			if !ok || before.version != known[i].Version || takenUp || now.Sub(before.at) > retention {
				t.add(key, origin{version: known[i].Version, pool: pool, at: now})
			}
		}
	}
	close(t.learned)
	t.learned = make(chan struct{})
}

// Known returns which of the requested streams are recorded here.
func (t *Table) Known(asked []byte) (known []Origins) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range splitKeys(asked) {
		if o, ok := t.origins[key]; ok {
			known = append(known, newOrigins(o.pool, o.version, appendKey(nil, key)))
		}
	}
	return known
}
