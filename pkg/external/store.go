package external

import (
	"context"
	"time"
)

// Store is the platform's key-value service. Values are at most MaxValueBytes.
type Store interface {
	// Get returns one key. It fails with ErrKeyNotFound.
	Get(ctx context.Context, key Key) (Entry, error)
	// List returns the keys that start with prefix, in order. It counts as
	// one read.
	List(ctx context.Context, prefix Key) ([]Entry, error)
	// CompareAndSwap writes the value if the key stands at the base version
	// and returns the new version. It fails with ErrVersionConflict, or with
	// ErrStoreUnknown where the write may have taken effect.
	CompareAndSwap(ctx context.Context, swap Swap) (Version, error)
	// Delete removes the key if it stands at the given version.
	Delete(ctx context.Context, key Key, version Version) error
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its full time. It fails with
	// ErrLeaseNotFound.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the keys bound to it.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until a key under the prefix has changed after the cursor
	// and returns the changes, or none when ctx ends. It may skip states
	// between, never the newest. Waiting counts as one call.
	Watch(ctx context.Context, prefix Key, after Cursor) (Changes, error)
}

// MaxValueBytes is the largest value that the store takes.
const MaxValueBytes = 1 << 20
