package orders

import (
	"context"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// entryWriter writes store entries of one process. Each write gets an identity
// of its own, so that it can be recognized when the entry is read back.
type entryWriter struct {
	store    external.Store
	self     lease.Writer
	timeout  time.Duration
	sequence atomic.Uint64
}

// stamp returns the identity of a new write.
func (w *entryWriter) stamp() lease.Writer {
	writer := w.self
	writer.Sequence = w.sequence.Add(1)
	return writer
}

// write writes a value by compare-and-swap and checks the authority immediately
// before. If the response is lost, the key is read back; written reports whether a
// value comes from this write. A retry uses the same base version, so the write
// takes effect at most once.
func (w *entryWriter) write(ctx context.Context, authority lease.Authority, swap external.Swap, written func([]byte) bool) (external.Version, error) {
	for range maxWriteAttempts {
		if err := authority.Check(); err != nil {
			return external.NoVersion, err
		}
		version, err := w.swap(ctx, swap)
		if err == nil {
			return version, nil
		}
		kind := fault.KindOf(err)
		if kind != fault.Unknown && kind != fault.Conflict {
			return external.NoVersion, err
		}
		entry, readErr := w.read(ctx, swap.Key)
		if readErr != nil {
			return external.NoVersion, err
		}
		if written(entry.Value) {
			return entry.Version, nil
		}
		if entry.Version != swap.Base || kind == fault.Conflict {
			return external.NoVersion, errConflict
		}
	}
	return external.NoVersion, external.ErrStoreUnknown
}

// maxWriteAttempts is how many times a write is tried before it fails.
const maxWriteAttempts = 3

// swap makes one compare-and-swap within the call's timeout.
func (w *entryWriter) swap(ctx context.Context, swap external.Swap) (external.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	return w.store.CompareAndSwap(ctx, swap)
}

// read returns a key's entry, or an empty one if the key does not exist.
func (w *entryWriter) read(ctx context.Context, key external.Key) (external.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	entry, err := w.store.Get(ctx, key)
	if fault.KindOf(err) == fault.NotFound {
		return external.Entry{}, nil
	}
	return entry, err
}
