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
	// writeTimeout bounds the writing of one batch, retries included.
	writeTimeout = 2 * time.Second
	// writeAttempts bounds the compare-and-swaps of one batch.
	writeAttempts = 8
	// throttledWait is the mean wait before a write that the store refused
	// for its rate.
	throttledWait = 100 * time.Millisecond
	// refusedWait is the wait that is advised where claims can't be written.
	refusedWait = 2 * time.Second
	// owedRetry is the pause before operations that nobody waits for are
	// tried again.
	owedRetry = time.Second
)

// shard writes one shard's operations, a batch at a time.
type shard struct {
	store external.Store
	log   *slog.Logger
	key   external.Key
	// limiter bounds the writes of all shards of the daemon.
	limiter *rate.Limiter
	queue   chan operation
	// stopped is closed when the shard runs no more.
	stopped chan struct{}

	// document is the value as last seen at version; nil means not known. The
	// running goroutine alone uses it.
	document *Document
	version  external.Version
	// owed are operations that nobody waits for and that must be tried again.
	owed []operation
}

// errBusy says that the daemon's part of the store's write rate is used up.
var errBusy = fault.New(fault.Unavailable, "the daemon's writes of claims are used up", "ask for a higher rate of claims")

// newShard returns a shard that has read nothing.
func newShard(opts Options, key external.Key, limiter *rate.Limiter) *shard {
	return &shard{
		store: opts.Store, log: opts.Log, key: key, limiter: limiter,
		queue: make(chan operation, queueLimit), stopped: make(chan struct{}),
	}
}

// do runs an operation and waits for its result.
func (s *shard) do(o operation) result {
	select {
	case s.queue <- o:
	case <-s.stopped:
		return result{err: errStopped}
	default:
		return result{err: errStopped}
	}
	select {
	case r := <-o.done:
		return r
	case <-s.stopped:
		return result{err: errStopped}
	}
}

// owe queues an operation that nobody waits for. One that finds no room is
// dropped: its claim stays as running until it is forgotten, which is truthful.
func (s *shard) owe(o operation) {
	select {
	case s.queue <- o:
	default:
		s.log.Warn("claim not settled, the queue is full", "shard", s.key)
	}
}

// run works the queue off until ctx ends.
func (s *shard) run(ctx context.Context) error {
	defer close(s.stopped)
	for {
		var retry <-chan time.Time
		if len(s.owed) > 0 {
			retry = time.After(owedRetry)
		}
		select {
		case <-ctx.Done():
			s.last()
			return nil
		case first := <-s.queue:
			s.write(ctx, s.drain([]operation{first}))
		case <-retry:
			s.write(ctx, nil)
		}
	}
}

// last settles what is left when the daemon stops.
func (s *shard) last() {
	batch := s.drain(nil)
	if len(batch)+len(s.owed) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	s.write(ctx, batch)
}

// drain appends the operations that wait.
func (s *shard) drain(batch []operation) []operation {
	for {
		select {
		case next := <-s.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
}

// write writes a batch with what is owed and hands out the results.
func (s *shard) write(ctx context.Context, batch []operation) {
	batch = append(batch, s.owed...)
	s.owed = nil
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
	refused := result{err: fault.Wrap(err, fault.Unavailable, errStopped.Reason, errStopped.Remedy).After(refusedWait)}
	for i := range batch {
		s.failed(batch[i], sent, refused)
	}
}

// failed tells of an operation that is not known to be written. A claim that
// may have been is freed later, since its request is not sent.
func (s *shard) failed(o operation, sent bool, refused result) {
	o.reply(refused)
	o.done = nil
	if o.kind == take {
		if !sent {
			return
		}
		o.kind = drop
	}
	if len(s.owed) < queueLimit {
		s.owed = append(s.owed, o)
	}
}
