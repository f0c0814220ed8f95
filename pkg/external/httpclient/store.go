package httpclient

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/external/wire"
)

// Store implements external.Store over HTTP.
type Store struct {
	client *Client
}

var _ external.Store = (*Store)(nil)

// NewStore returns a store that uses the client.
func NewStore(client *Client) *Store { return &Store{client: client} }

// Get returns one key.
func (s *Store) Get(ctx context.Context, key external.Key) (external.Entry, error) {
	return post[external.Entry](ctx, s.client, callTimeout, wire.PathGet, wire.KeyRequest{Key: key})
}

// List returns the entries whose keys start with prefix.
func (s *Store) List(ctx context.Context, prefix external.Key) ([]external.Entry, error) {
	list, err := post[wire.EntryList](ctx, s.client, callTimeout, wire.PathList, wire.KeyRequest{Key: prefix})
	return list.Entries, err
}

// CompareAndSwap writes a value if the key is at the base version.
func (s *Store) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	response, err := post[wire.VersionResponse](ctx, s.client, callTimeout, wire.PathSwap, swap)
	return response.Version, err
}

// Delete removes a key if it is at the given version.
func (s *Store) Delete(ctx context.Context, key external.Key, version external.Version) error {
	_, err := post[wire.Empty](ctx, s.client, callTimeout, wire.PathDelete, wire.DeleteRequest{Key: key, Version: version})
	return err
}

// Grant creates a lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (external.LeaseID, error) {
	response, err := post[wire.LeaseMessage](ctx, s.client, callTimeout, wire.PathGrant, wire.GrantRequest{TTL: ttl})
	return response.Lease, err
}

// KeepAlive renews a lease.
func (s *Store) KeepAlive(ctx context.Context, lease external.LeaseID) error {
	_, err := post[wire.Empty](ctx, s.client, callTimeout, wire.PathKeepAlive, wire.LeaseMessage{Lease: lease})
	return err
}

// Revoke ends a lease.
func (s *Store) Revoke(ctx context.Context, lease external.LeaseID) error {
	_, err := post[wire.Empty](ctx, s.client, callTimeout, wire.PathRevoke, wire.LeaseMessage{Lease: lease})
	return err
}

// Watch waits for changes under a prefix. After watchWait without changes the
// platform responds with none.
func (s *Store) Watch(ctx context.Context, prefix external.Key, after external.Cursor) (external.Changes, error) {
	message := wire.WatchRequest{Prefix: prefix, After: after, Wait: watchWait}
	changes, err := post[external.Changes](ctx, s.client, watchWait+callTimeout, wire.PathWatch, message)
	if err != nil {
		return external.Changes{Next: after}, err
	}
	return changes, nil
}
