package storemeter

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
)

// The values of the label "call".
const (
	callGet    = "get"
	callList   = "list"
	callSwap   = "swap"
	callDelete = "delete"
	callGrant  = "grant"
	callRenew  = "renew"
	callRevoke = "revoke"
	callWatch  = "watch"
)

// resultDone is the value of the label "result" for successful calls. For failed
// ones it is the kind of the fault.
const resultDone = "done"

// Store wraps a store, counts its calls by kind and result, and measures their
// duration.
type Store struct {
	store   external.Store
	calls   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
}

var _ external.Store = (*Store)(nil)

const (
	// firstBucket is the upper bound of the first bucket in seconds; each
	// further bucket doubles it.
	firstBucket = 0.001
	bucketCount = 14
)

// New returns a store that measures the calls to another, and registers its
// metrics.
func New(store external.Store, registerer prometheus.Registerer) *Store {
	s := &Store{
		store: store,
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthplank_store_calls_total", Help: "Calls to the store by kind and result.",
		}, []string{"call", "result"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "amaranthplank_store_call_seconds", Help: "Time until the store's answer, by kind of call; watches wait for a change.",
			Buckets: prometheus.ExponentialBuckets(firstBucket, 2, bucketCount),
		}, []string{"call"}),
	}
	registerer.MustRegister(s.calls, s.seconds)
	return s
}

// count records the result and duration of one call.
func (s *Store) count(call string, began time.Time, err error) {
	result := resultDone
	if err != nil {
		result = string(fault.KindOf(err))
	}
	s.calls.WithLabelValues(call, result).Inc()
	s.seconds.WithLabelValues(call).Observe(time.Since(began).Seconds())
}

// Get returns the entry of a key.
func (s *Store) Get(ctx context.Context, key external.Key) (entry external.Entry, err error) {
	defer func(began time.Time) { s.count(callGet, began, err) }(time.Now())
	return s.store.Get(ctx, key)
}

// List returns the entries whose keys start with prefix.
func (s *Store) List(ctx context.Context, prefix external.Key) (entries []external.Entry, err error) {
	defer func(began time.Time) { s.count(callList, began, err) }(time.Now())
	return s.store.List(ctx, prefix)
}

// CompareAndSwap writes the value if the key is at the base version.
func (s *Store) CompareAndSwap(ctx context.Context, swap external.Swap) (version external.Version, err error) {
	defer func(began time.Time) { s.count(callSwap, began, err) }(time.Now())
	return s.store.CompareAndSwap(ctx, swap)
}

// Delete removes the key if it is at the given version.
func (s *Store) Delete(ctx context.Context, key external.Key, version external.Version) (err error) {
	defer func(began time.Time) { s.count(callDelete, began, err) }(time.Now())
	return s.store.Delete(ctx, key, version)
}

// Grant creates a lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (lease external.LeaseID, err error) {
	defer func(began time.Time) { s.count(callGrant, began, err) }(time.Now())
	return s.store.Grant(ctx, ttl)
}

// KeepAlive renews a lease for its full TTL.
func (s *Store) KeepAlive(ctx context.Context, lease external.LeaseID) (err error) {
	defer func(began time.Time) { s.count(callRenew, began, err) }(time.Now())
	return s.store.KeepAlive(ctx, lease)
}

// Revoke ends a lease and deletes the keys bound to it.
func (s *Store) Revoke(ctx context.Context, lease external.LeaseID) (err error) {
	defer func(began time.Time) { s.count(callRevoke, began, err) }(time.Now())
	return s.store.Revoke(ctx, lease)
}

// Watch waits until a key under the prefix has changed after the cursor.
func (s *Store) Watch(ctx context.Context, prefix external.Key, after external.Cursor) (changes external.Changes, err error) {
	defer func(began time.Time) { s.count(callWatch, began, err) }(time.Now())
	return s.store.Watch(ctx, prefix, after)
}
