package claims

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/platform"
)

const (
	// writeTimeout bounds the writing of one batch, retries included.
	writeTimeout = 2 * time.Second
	// writeAttempts bounds the compare-and-swaps of one batch.
	writeAttempts = 8
	// throttledWait is the mean wait before a write that the store refused
	// for its rate.
	throttledWait = 100 * time.Millisecond
	// owedRetry is the pause before operations that nobody waits for are
	// tried again.
	owedRetry = time.Second
)

// shard writes one shard's operations, a batch at a time.
type shard struct {
	store platform.Store
	log   *slog.Logger
	key   platform.Key
	pause time.Duration
	queue chan operation
	// stopped is closed when the shard runs no more.
	stopped chan struct{}

	// document is the value as last seen at version; nil means not known. The
	// running goroutine alone uses it.
	document *Document
	version  platform.Version
	// owed are operations that nobody waits for and that must be tried again.
	owed []operation
}

// newShard returns a shard that has read nothing.
func newShard(opts Options, key platform.Key) *shard {
	return &shard{
		store: opts.Store, log: opts.Log, key: key, pause: opts.Pause,
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
			s.batch(ctx, first)
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

// batch writes an operation with those that wait behind it.
func (s *shard) batch(ctx context.Context, first operation) {
	s.write(ctx, s.drain([]operation{first}))
	if s.pause > 0 {
		select {
		case <-time.After(s.pause):
		case <-ctx.Done():
		}
	}
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
	refused := result{err: fault.Wrap(err, fault.Unavailable, errStopped.Reason, errStopped.Remedy).After(time.Second)}
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

// commit applies a batch to the shard's newest value and swaps it in. It
// reports whether a write was sent whose effect is not known.
func (s *shard) commit(ctx context.Context, batch []operation) ([]result, bool, error) {
	sent := false
	fresh := s.document == nil
	var err error
	for range writeAttempts {
		if s.document == nil {
			if err = s.read(ctx); err != nil {
				return nil, sent, err
			}
			fresh = true
		}
		next, results := s.document.apply(batch, time.Now())
		if next == s.document && fresh {
			return results, false, nil
		}
		if next == s.document {
			s.document = nil
			continue
		}
		err = s.swap(ctx, next)
		if err == nil {
			return results, false, nil
		}
		switch fault.KindOf(err) {
		case fault.Unavailable:
			return nil, sent, err
		case fault.Limited:
			s.backOff(ctx)
		case fault.Conflict:
			s.document = nil
		default:
			sent = true
			s.document = nil
		}
	}
	return nil, sent, err
}

// backOff waits before a write that the store refused for its rate. What comes
// meanwhile goes with the next batch.
func (s *shard) backOff(ctx context.Context) {
	timer := time.NewTimer(throttledWait/2 + rand.N(throttledWait))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// read reads the shard's value.
func (s *shard) read(ctx context.Context) error {
	entry, err := s.store.Get(ctx, s.key)
	if errors.Is(err, platform.ErrKeyNotFound) {
		s.document, s.version = &Document{Claims: make(map[digest]Claim)}, entry.Version
		return nil
	}
	if err != nil {
		return err
	}
	document, err := parseDocument(entry.Value)
	if err != nil {
		return err
	}
	s.document, s.version = document, entry.Version
	return nil
}

// swap writes the shard's next value.
func (s *shard) swap(ctx context.Context, next *Document) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	version, err := s.store.CompareAndSwap(ctx, platform.Swap{Key: s.key, Base: s.version, Value: value})
	if err != nil {
		return err
	}
	s.document, s.version = next, version
	return nil
}
