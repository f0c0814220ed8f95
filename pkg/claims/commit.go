package claims

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
)

// commit applies a batch to the shard's current value and writes it by
// compare-and-swap, with retries. On failure, it reports whether a write of
// unknown outcome was sent.
func (s *shard) commit(ctx context.Context, batch []operation) ([]result, bool, error) {
	sent := false
	var err error
	for range maxWriteAttempts {
		var results []result
		results, err = s.tryCommit(ctx, batch)
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

// tryCommit applies a batch once. If no write is needed, the results are based
// on a value that was just read, since the cached one may be stale.
func (s *shard) tryCommit(ctx context.Context, batch []operation) ([]result, error) {
	fresh := s.document == nil
	if fresh {
		if err := s.read(ctx); err != nil {
			return nil, err
		}
	}
	next, results := s.document.apply(batch, time.Now())
	if next == s.document && !fresh {
		if err := s.read(ctx); err != nil {
			return nil, err
		}
		next, results = s.document.apply(batch, time.Now())
	}
	if next == s.document {
		return results, nil
	}
	if s.limiter.Wait(ctx) != nil {
		return nil, errWriteRateExceeded
	}
	return results, s.swap(ctx, next)
}

// backOff waits, with jitter, before a write that the store throttled is
// retried. Operations queued meanwhile go into the next batch.
func (s *shard) backOff(ctx context.Context) {
	timer := time.NewTimer(throttleBackoff/2 + rand.N(throttleBackoff))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// read reads the shard's value from the store.
func (s *shard) read(ctx context.Context) error {
	s.document = nil
	entry, err := s.store.Get(ctx, s.key)
	if errors.Is(err, external.ErrKeyNotFound) {
		s.document, s.version = &Document{Claims: make(map[digest]Claim)}, entry.Version
		return nil
	}
	if err != nil {
		return readError(err)
	}
	document, err := parseDocument(entry.Value)
	if err != nil {
		return err
	}
	s.document, s.version = document, entry.Version
	return nil
}

// readError gives a failed read the kind Unavailable, unless it was throttled,
// so that it doesn't count as a write that may have taken effect.
func readError(err error) error {
	kind := fault.KindOf(err)
	if kind == fault.Limited {
		return err
	}
	return fault.Wrap(err, fault.Unavailable, "the store can't be read", "try again later")
}

// swap writes the shard's next value by compare-and-swap.
func (s *shard) swap(ctx context.Context, next *Document) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "the claims can't be encoded", "report this as a bug")
	}
	version, err := s.store.CompareAndSwap(ctx, external.Swap{Key: s.key, Base: s.version, Value: value})
	if err != nil {
		return err
	}
	s.document, s.version = next, version
	return nil
}
