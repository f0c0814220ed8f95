package memstore

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
)

// Store holds keys, leases and the cursor of the latest change. Leases expire by
// the given clock; later calls remove expired ones.
type Store struct {
	clock clock.Clock

	mu     sync.Mutex
	cursor external.Cursor
	values map[external.Key]*value
	leases map[external.LeaseID]*lease
	// lastLease is the ID of the lease granted last.
	lastLease external.LeaseID
	// watches holds the watches in progress.
	watches map[*watch]struct{}
	// era is how often the store went back to a snapshot.
	era external.Era
}

var _ external.Store = (*Store)(nil)

// value is the state of one key. It is kept after a deletion, so that versions
// never repeat.
type value struct {
	entry   external.Entry
	changed external.Cursor
}

// lease is one granted lease.
type lease struct {
	ttl     time.Duration
	expires time.Duration
}

// New returns an empty store whose leases expire by clk.
func New(clk clock.Clock) *Store {
	return &Store{
		clock:   clk,
		values:  make(map[external.Key]*value),
		leases:  make(map[external.LeaseID]*lease),
		watches: make(map[*watch]struct{}),
	}
}

// Get returns one key.
func (s *Store) Get(ctx context.Context, key external.Key) (external.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	external.RecordEra(ctx, s.era)
	s.expire()
	v, ok := s.values[key]
	if !ok || v.entry.Deleted {
		return external.Entry{}, external.ErrKeyNotFound
	}
	return v.copy(), nil
}

// List returns the entries whose keys start with prefix, sorted by key.
func (s *Store) List(ctx context.Context, prefix external.Key) ([]external.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	external.RecordEra(ctx, s.era)
	s.expire()
	var entries []external.Entry
	for key, v := range s.values {
		if strings.HasPrefix(string(key), string(prefix)) && !v.entry.Deleted {
			entries = append(entries, v.copy())
		}
	}
	sortEntries(entries)
	return entries, nil
}

// CompareAndSwap writes a value if the key's version is the base version.
func (s *Store) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	external.RecordEra(ctx, s.era)
	s.expire()
	if len(swap.Value) > external.MaxValueBytes {
		return 0, errValueTooLarge
	}
	if swap.Lease != external.NoLease && s.leases[swap.Lease] == nil {
		return 0, external.ErrLeaseNotFound
	}
	if s.liveVersion(swap.Key) != swap.Base {
		return 0, external.ErrVersionConflict
	}
	return s.write(swap.Key, swap.Value, swap.Lease, false), nil
}

// Delete removes a key if its version is the given one.
func (s *Store) Delete(ctx context.Context, key external.Key, version external.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	external.RecordEra(ctx, s.era)
	s.expire()
	if version == external.NoVersion || s.liveVersion(key) != version {
		return external.ErrVersionConflict
	}
	s.write(key, nil, external.NoLease, true)
	return nil
}

// Grant creates a lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (external.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	external.RecordEra(ctx, s.era)
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: s.clock.Now() + ttl}
	return s.lastLease, nil
}

// KeepAlive renews a lease for its full TTL.
func (s *Store) KeepAlive(ctx context.Context, id external.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	external.RecordEra(ctx, s.era)
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		return external.ErrLeaseNotFound
	}
	l.expires = s.clock.Now() + l.ttl
	return nil
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(ctx context.Context, id external.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	external.RecordEra(ctx, s.era)
	s.expire()
	if s.leases[id] == nil {
		return external.ErrLeaseNotFound
	}
	s.end(id)
	return nil
}

// expire ends the leases whose TTL has elapsed.
func (s *Store) expire() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if now >= l.expires {
			s.end(id)
		}
	}
}

// end removes a lease and its keys.
func (s *Store) end(id external.LeaseID) {
	delete(s.leases, id)
	for key, v := range s.values {
		if v.entry.Lease == id && !v.entry.Deleted {
			s.write(key, nil, external.NoLease, true)
		}
	}
}

// write replaces a key's state, wakes the watches on it and returns the new
// version.
func (s *Store) write(key external.Key, data []byte, id external.LeaseID, deleted bool) external.Version {
	s.cursor++
	version := external.NoVersion + 1
	if v, ok := s.values[key]; ok {
		version = v.entry.Version + 1
	}
	entry := external.Entry{Key: key, Value: slices.Clone(data), Version: version, Lease: id, Deleted: deleted}
	s.values[key] = &value{entry: entry, changed: s.cursor}
	s.wake(key)
	return version
}

// liveVersion returns a key's version, or NoVersion if the key does not exist.
func (s *Store) liveVersion(key external.Key) external.Version {
	v, ok := s.values[key]
	if !ok || v.entry.Deleted {
		return external.NoVersion
	}
	return v.entry.Version
}

// copy returns the entry with a copy of its value.
func (v *value) copy() external.Entry {
	entry := v.entry
	entry.Value = slices.Clone(entry.Value)
	return entry
}

// sortEntries sorts entries by key.
func sortEntries(entries []external.Entry) {
	slices.SortFunc(entries, func(a, b external.Entry) int {
		return strings.Compare(string(a.Key), string(b.Key))
	})
}
