package claims

import (
	"context"
	"encoding/hex"
	"fmt"
	"log/slog"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
)

// Options configure a Registry.
type Options struct {
	Store external.Store
	Log   *slog.Logger
	// Retention is how long a claim is kept after its request's deadline; zero means
	// DefaultRetention. It must exceed the clock skew between hosts.
	Retention time.Duration
	// WritesPerSecond bounds this daemon's rate of writes to the store; zero
	// means DefaultWritesPerSecond. Operations that wait for it are batched.
	WritesPerSecond float64
}

const (
	// DefaultRetention is the default of Options.Retention.
	DefaultRetention = 10 * time.Minute
	// DefaultWritesPerSecond is the default of Options.WritesPerSecond. Eight
	// daemons then make up to 160 writes/s.
	DefaultWritesPerSecond = 20
	// shards is the number of shards, each stored as one value.
	shards = 256
	// queueLimit bounds the queued operations of one shard, and separately
	// those to be retried.
	queueLimit = 256
)

// Registry claims idempotency keys in the platform's store.
type Registry struct {
	opts   Options
	shards [shards]*shard
}

// errUnavailable reports that the registry is stopped or the shard's queue is full.
var errUnavailable = fault.New(fault.Unavailable, "the idempotency key can't be recorded at present", "send the request again after the time in Retry-After").WithRetryAfter(time.Second)

// New returns a registry. It processes operations only while Run is running.
func New(opts Options) *Registry {
	if opts.Retention == 0 {
		opts.Retention = DefaultRetention
	}
	if opts.WritesPerSecond == 0 {
		opts.WritesPerSecond = DefaultWritesPerSecond
	}
	limiter := rate.NewLimiter(rate.Limit(opts.WritesPerSecond), max(1, int(opts.WritesPerSecond)))
	r := &Registry{opts: opts}
	for i := range r.shards {
		key := external.Key(fmt.Sprintf("claims/%02x", i))
		r.shards[i] = newShard(opts, key, limiter)
	}
	return r
}

// Run writes claims until ctx is done.
func (r *Registry) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range r.shards {
		group.Go(func() error { return s.run(ctx) })
	}
	return group.Wait()
}

// Claim claims a key for a request that ends by the deadline. It returns an
// active claim if the key had no claim, or else the claim of the earlier
// submission. If it fails, the request must not be sent.
func (r *Registry) Claim(key Key, fingerprint Fingerprint, deadline time.Time) (*ActiveClaim, *Claim, error) {
	k := key.digest()
	s := r.shardOf(k)
	claim := Claim{ID: uuid.NewString(), Fingerprint: fingerprint, State: Running, Until: deadline.Add(r.opts.Retention)}
	got := s.do(operation{key: k, claim: claim, kind: opAcquire, done: make(chan result, 1)})
	if got.err != nil || got.existing != nil {
		return nil, got.existing, got.err
	}
	return &ActiveClaim{shard: s, key: k, claim: claim}, nil, nil
}

// shardOf returns the shard of a key's digest.
func (r *Registry) shardOf(k digest) *shard {
	first, err := hex.DecodeString(string(k[:2]))
	if err != nil {
		return r.shards[0]
	}
	return r.shards[int(first[0])%shards]
}
