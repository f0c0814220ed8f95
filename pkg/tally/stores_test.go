package tally

import (
	"context"
	"sync/atomic"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// lossyStore makes writes and, with loseResponses set, loses their responses.
type lossyStore struct {
	external.Store
	loseResponses bool
}

func (s *lossyStore) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	version, err := s.Store.CompareAndSwap(ctx, swap)
	if s.loseResponses {
		return 0, external.ErrStoreUnknown
	}
	return version, err
}

// refusingStore refuses every write.
type refusingStore struct{ external.Store }

func (refusingStore) CompareAndSwap(context.Context, external.Swap) (external.Version, error) {
	return 0, external.ErrStoreUnavailable
}

// countingStore counts the writes and their bytes.
type countingStore struct {
	external.Store
	writes, bytes atomic.Int64
}

func (s *countingStore) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	s.writes.Add(1)
	s.bytes.Add(int64(len(swap.Value)))
	return s.Store.CompareAndSwap(ctx, swap)
}
