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

// Options are what a Registry works with.
type Options struct {
	Store external.Store
	Log   *slog.Logger
	// Keep is how long a claim is remembered after its request's deadline;
	// zero means DefaultKeep. It must exceed what hosts' clocks differ by.
	Keep time.Duration
	// WritesPerSecond bounds what this daemon takes of the store's rate; zero
	// means DefaultWritesPerSecond. Operations that wait for it are gathered.
	WritesPerSecond float64
}

const (
	// DefaultKeep is how long claims are remembered.
	DefaultKeep = 10 * time.Minute
	// DefaultWritesPerSecond is what eight daemons take 160 writes/s with.
	DefaultWritesPerSecond = 20
	// shards is how many values the claims are spread over.
	shards = 256
	// queueLimit bounds the operations that wait for one shard.
	queueLimit = 256
)

// Registry claims keys in the platform's store.
type Registry struct {
	opts   Options
	shards [shards]*shard
}

// errStopped says that the registry does not run.
var errStopped = fault.New(fault.Unavailable, "idempotency keys can't be claimed at present", "send the request again after the time in Retry-After").After(time.Second)

// New returns a registry that claims nothing until it runs.
func New(opts Options) *Registry {
	if opts.Keep == 0 {
		opts.Keep = DefaultKeep
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

// Run writes claims until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range r.shards {
		group.Go(func() error { return s.run(ctx) })
	}
	return group.Wait()
}

// Claim claims a key for a request that ends by the deadline. It returns a hold where the key was free,
// else the claim of the earlier submission. Where it fails, the request has no
// claim and must not be sent.
func (r *Registry) Claim(key Key, fingerprint Fingerprint, deadline time.Time) (*Hold, *Claim, error) {
	k := key.digest()
	s := r.shardOf(k)
	claim := Claim{ID: uuid.NewString(), Fingerprint: fingerprint, State: Running, Until: deadline.Add(r.opts.Keep)}
	got := s.do(operation{key: k, claim: claim, kind: take, done: make(chan result, 1)})
	if got.err != nil || got.found != nil {
		return nil, got.found, got.err
	}
	return &Hold{shard: s, key: k, claim: claim}, nil, nil
}

// shardOf returns the shard of a key.
func (r *Registry) shardOf(k digest) *shard {
	first, err := hex.DecodeString(string(k[:2]))
	if err != nil {
		return r.shards[0]
	}
	return r.shards[int(first[0])%shards]
}
