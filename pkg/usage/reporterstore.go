package usage

import (
	"context"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// readHead returns the shard's head and its version. The head is empty if none
// is stored.
func (r *Reporter) readHead(ctx context.Context) (Head, external.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := r.Store.Get(ctx, headKey(r.Shard))
	if errors.Is(err, external.ErrKeyNotFound) {
		return Head{Shard: r.Shard}, external.NoVersion, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	head, err := decodeHead(entry.Value)
	return head, entry.Version, err
}

// writeHead stores the last reported window. If the response is lost, the next
// call of ReportDue reads the head first, and at worst resends a window with the
// same counts.
func (r *Reporter) writeHead(ctx context.Context, authority lease.Authority, head *Head, base external.Version) (external.Version, error) {
	value, err := encodeHead(head)
	if err != nil {
		return 0, err
	}
	if err := authority.Check(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return r.Store.CompareAndSwap(ctx, external.Swap{Key: headKey(r.Shard), Base: base, Value: value})
}

// readFrozen returns a frozen window, or nil if it does not exist.
func (r *Reporter) readFrozen(ctx context.Context, sequence uint64) (*FrozenWindow, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := r.Store.Get(ctx, frozenKey(r.Shard, sequence))
	if errors.Is(err, external.ErrKeyNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return decodeFrozen(entry.Value)
}

// checkpoints returns every source's checkpoint. It fails if any checkpoint
// can't be decoded, since the window would lack its usage.
func (r *Reporter) checkpoints(ctx context.Context) ([]Checkpoint, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, err := r.Store.List(ctx, CheckpointPrefix)
	if err != nil {
		return nil, err
	}
	checkpoints := make([]Checkpoint, 0, len(entries))
	for _, entry := range entries {
		checkpoint, err := decodeCheckpoint(entry.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "decode %s", entry.Key)
		}
		checkpoints = append(checkpoints, checkpoint)
	}
	return checkpoints, nil
}

// isNotFound reports whether err means that a key does not exist.
func isNotFound(err error) bool { return errors.Is(err, external.ErrKeyNotFound) }
