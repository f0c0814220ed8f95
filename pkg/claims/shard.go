package claims

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/time/rate"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
)

const (
	// writeTimeout bounds writing one batch, including retries.
	writeTimeout = 2 * time.Second
	// maxWriteAttempts bounds the attempts to write one batch.
	maxWriteAttempts = 8
	// throttleBackoff is the mean delay before a write that the store throttled
	// is retried.
	throttleBackoff = 100 * time.Millisecond
	// unavailableRetryAfter is the Retry-After advised if claims can't be
	// written.
	unavailableRetryAfter = 2 * time.Second
	// retryInterval is the delay before failed operations without a waiting caller
	// are retried.
	retryInterval = time.Second
)

// shard writes the operations of one shard, one batch at a time.
type shard struct {
	store external.Store
	log   *slog.Logger
	key   external.Key
	// limiter bounds the total write rate of the daemon's shards.
	limiter *rate.Limiter
	queue   chan operation
	// stopped is closed when run returns.
	stopped chan struct{}

	// document is the cached value at version; nil if not known. Only the
	// goroutine of run uses it.
	document *Document
	version  external.Version
	// retries are failed operations without a waiting caller.
	retries []operation
}

// errWriteRateExceeded reports that the wait for WritesPerSecond would exceed
// writeTimeout.
var errWriteRateExceeded = fault.New(fault.Unavailable, "the daemon's write rate limit for claims is exceeded", "lower the rate of requests with idempotency keys, or spread them over more daemons")

// newShard returns a shard without a cached value.
func newShard(opts Options, key external.Key, limiter *rate.Limiter) *shard {
	return &shard{
		store: opts.Store, log: opts.Log, key: key, limiter: limiter,
		queue: make(chan operation, queueLimit), stopped: make(chan struct{}),
	}
}

// do queues an operation and waits for its result. It fails immediately if the queue
// is full.
func (s *shard) do(o operation) result {
	select {
	case s.queue <- o:
	case <-s.stopped:
		return result{err: errUnavailable}
	default:
		return result{err: errUnavailable}
	}
	select {
	case r := <-o.done:
		return r
	case <-s.stopped:
		return result{err: errUnavailable}
	}
}

// enqueue queues an operation without a waiting caller. If the queue is full, the
// operation is dropped: its claim stays in state Running until it expires, which
// is safe, since Running includes requests whose daemon failed.
func (s *shard) enqueue(o operation) {
	select {
	case s.queue <- o:
	default:
		s.log.Warn("claim not settled: queue full", "shard", s.key)
	}
}

// run processes the queue until ctx is done, then flushes it.
func (s *shard) run(ctx context.Context) error {
	defer close(s.stopped)
	for {
		var retry <-chan time.Time
		if len(s.retries) > 0 {
			retry = time.After(retryInterval)
		}
		select {
		case <-ctx.Done():
			s.flush()
			return nil
		case op := <-s.queue:
			s.write(ctx, s.appendQueued([]operation{op}))
		case <-retry:
			s.write(ctx, nil)
		}
	}
}

// flush makes a last attempt to write the remaining operations at shutdown.
func (s *shard) flush() {
	batch := s.appendQueued(nil)
	if len(batch)+len(s.retries) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	s.write(ctx, batch)
}

// appendQueued appends all queued operations to the batch.
func (s *shard) appendQueued(batch []operation) []operation {
	for {
		select {
		case next := <-s.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
}

// write writes a batch together with the operations to be retried, and sends
// the results.
func (s *shard) write(ctx context.Context, batch []operation) {
	batch = append(batch, s.retries...)
	s.retries = nil
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	results, sent, err := s.commit(ctx, batch)
	if err == nil {
		for i := range batch {
			batch[i].reply(results[i])
		}
		return
	}
	s.log.Warn("claims not written", "shard", s.key, "operations", len(batch), "error", err)
	failure := result{err: fault.Wrap(err, fault.Unavailable, errUnavailable.Reason, errUnavailable.Remedy).WithRetryAfter(unavailableRetryAfter)}
	for i := range batch {
		s.handleFailure(batch[i], sent, failure)
	}
}

// handleFailure replies to an operation that is not known to be written and
// queues it for a retry. An acquisition is not retried: its request is not sent,
// so if the claim may have been written, it is released instead.
func (s *shard) handleFailure(o operation, sent bool, failure result) {
	o.reply(failure)
	o.done = nil
	if o.kind == opAcquire {
		if !sent {
			return
		}
		o.kind = opRelease
	}
	if len(s.retries) < queueLimit {
		s.retries = append(s.retries, o)
	}
}
