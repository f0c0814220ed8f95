package orders

import (
	"context"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// scribe writes entries of one process so that each write can be told from
// every other.
type scribe struct {
	store    external.Store
	self     lease.Writer
	timeout  time.Duration
	sequence atomic.Uint64
}

// stamp returns the identity of a new write.
func (s *scribe) stamp() lease.Writer {
	writer := s.self
	writer.Sequence = s.sequence.Add(1)
	return writer
}

// write swaps a value in under the authority, which is checked immediately
// before. Where the answer is lost, the key is read back: written tells whether
// a value is the one of this write. The write is repeated on the same base, so
// it takes effect at most once.
func (s *scribe) write(ctx context.Context, authority lease.Authority, swap external.Swap, written func([]byte) bool) (external.Version, error) {
	for range writeAttempts {
		if err := authority.Check(); err != nil {
			return external.NoVersion, err
		}
		version, err := s.swap(ctx, swap)
		if err == nil {
			return version, nil
		}
		kind := fault.KindOf(err)
		if kind != fault.Unknown && kind != fault.Conflict {
			return external.NoVersion, err
		}
		entry, readErr := s.read(ctx, swap.Key)
		if readErr != nil {
			return external.NoVersion, err
		}
		if written(entry.Value) {
			return entry.Version, nil
		}
		if entry.Version != swap.Base || kind == fault.Conflict {
			return external.NoVersion, errMoved
		}
	}
	return external.NoVersion, external.ErrStoreUnknown
}

// writeAttempts is how often a write is begun before it is given up.
const writeAttempts = 3

// swap makes one compare-and-swap within the call's timeout.
func (s *scribe) swap(ctx context.Context, swap external.Swap) (external.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.store.CompareAndSwap(ctx, swap)
}

// read returns a key's entry, empty where it does not exist.
func (s *scribe) read(ctx context.Context, key external.Key) (external.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	entry, err := s.store.Get(ctx, key)
	if fault.KindOf(err) == fault.NotFound {
		return external.Entry{}, nil
	}
	return entry, err
}
