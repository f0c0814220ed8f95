package external

import (
	"context"
	"time"
)

// Store is the platform's key-value service. Values are at most MaxValueBytes.
type Store interface {
	// Get returns one key. It fails with ErrKeyNotFound.
	Get(ctx context.Context, key Key) (Entry, error)
	// List returns the entries whose keys start with prefix, in key order. It counts as
	// one read.
	List(ctx context.Context, prefix Key) ([]Entry, error)
	// CompareAndSwap writes the value if the key is at the base version
	// and returns the new version. It fails with ErrVersionConflict, or with
	// ErrStoreUnknown if the write may have taken effect.
	CompareAndSwap(ctx context.Context, swap Swap) (Version, error)
	// Delete removes the key if it is at the given version.
	Delete(ctx context.Context, key Key, version Version) error
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its full TTL. It fails with
	// ErrLeaseNotFound.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the keys bound to it.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until a key under the prefix has changed after the cursor
	// and returns the changes, or none when ctx ends. It may skip
	// intermediate states, but never the latest. One watch counts as one call.
	Watch(ctx context.Context, prefix Key, after Cursor) (Changes, error)
}

// MaxValueBytes is the largest value size that the store accepts.
const MaxValueBytes = 1 << 20
