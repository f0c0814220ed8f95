package faultstore

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// Store forwards calls to another store and injects the faults that are set.
type Store struct {
	inner external.Store

	mu     sync.Mutex
	faults Faults
	counts map[string]Counts
	writes *rate.Limiter
	reads  *rate.Limiter
}

var _ external.Store = (*Store)(nil)

// New wraps a store. No faults are set at first.
func New(inner external.Store) *Store {
	s := &Store{inner: inner, counts: make(map[string]Counts)}
	s.Set(Faults{})
	return s
}

// Set replaces the faults and resets the rate limiters.
func (s *Store) Set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.writes = newLimiter(faults.WritesPerSecond)
	s.reads = newLimiter(faults.ReadsPerSecond)
}

// Counts returns the numbers of calls so far by the first path element of their
// keys. Grant, KeepAlive and Revoke are counted under "lease".
func (s *Store) Counts() map[string]Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

// Get forwards a read.
func (s *Store) Get(ctx context.Context, key external.Key) (external.Entry, error) {
	if err := s.read(ctx, key); err != nil {
		return external.Entry{}, err
	}
	return s.inner.Get(ctx, key)
}

// List forwards a read.
func (s *Store) List(ctx context.Context, prefix external.Key) ([]external.Entry, error) {
	if err := s.read(ctx, prefix); err != nil {
		return nil, err
	}
	return s.inner.List(ctx, prefix)
}

// CompareAndSwap forwards a write. LoseResponse may drop its response.
func (s *Store) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	if err := s.write(ctx, swap.Key); err != nil {
		return 0, err
	}
	version, err := s.inner.CompareAndSwap(ctx, swap)
	if err == nil && s.losesResponse(swap.Key) {
		return 0, external.ErrStoreUnknown
	}
	return version, err
}

// Delete forwards a write. LoseResponse may drop its response.
func (s *Store) Delete(ctx context.Context, key external.Key, version external.Version) error {
	if err := s.write(ctx, key); err != nil {
		return err
	}
	err := s.inner.Delete(ctx, key, version)
	if err == nil && s.losesResponse(key) {
		return external.ErrStoreUnknown
	}
	return err
}

// Grant forwards a write. LoseResponse may drop its response.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (external.LeaseID, error) {
	if err := s.write(ctx, leaseKey); err != nil {
		return 0, err
	}
	id, err := s.inner.Grant(ctx, ttl)
	if err == nil && s.losesResponse(leaseKey) {
		return 0, external.ErrStoreUnknown
	}
	return id, err
}

// KeepAlive forwards a write. LoseResponse may drop its response.
func (s *Store) KeepAlive(ctx context.Context, id external.LeaseID) error {
	if err := s.write(ctx, leaseKey); err != nil {
		return err
	}
	err := s.inner.KeepAlive(ctx, id)
	if err == nil && s.losesResponse(leaseKey) {
		return external.ErrStoreUnknown
	}
	return err
}

// Revoke forwards a write. LoseResponse may drop its response.
func (s *Store) Revoke(ctx context.Context, id external.LeaseID) error {
	if err := s.write(ctx, leaseKey); err != nil {
		return err
	}
	err := s.inner.Revoke(ctx, id)
	if err == nil && s.losesResponse(leaseKey) {
		return external.ErrStoreUnknown
	}
	return err
}

// Watch forwards a watch after WatchDelay. With SilentWatches it then blocks
// until ctx is done and returns no changes.
func (s *Store) Watch(ctx context.Context, prefix external.Key, after external.Cursor) (external.Changes, error) {
	s.count(prefix, func(c *Counts) { c.Watches++ })
	if err := s.read(ctx, prefix); err != nil {
		return external.Changes{}, err
	}
	if delay := s.currentFaults().WatchDelay; delay > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
	changes, err := s.inner.Watch(ctx, prefix, after)
	if s.currentFaults().SilentWatches {
		<-ctx.Done()
		return external.Changes{Next: after}, nil
	}
	return changes, err
}

// leaseKey is the key under which lease calls are counted.
const leaseKey external.Key = "lease"

// read counts a read and fails if the store is down or the read limit exceeded.
func (s *Store) read(ctx context.Context, key external.Key) error {
	s.count(key, func(c *Counts) { c.Reads++ })
	return s.pass(ctx, func(s *Store) *rate.Limiter { return s.reads })
}

// write counts a write and fails if the store is down or the write limit
// exceeded.
func (s *Store) write(ctx context.Context, key external.Key) error {
	s.count(key, func(c *Counts) { c.Writes++ })
	return s.pass(ctx, func(s *Store) *rate.Limiter { return s.writes })
}

// pass applies the delay, the outage and the rate limit that pick selects.
func (s *Store) pass(ctx context.Context, pick func(*Store) *rate.Limiter) error {
	faults, limiter := s.faultsAndLimiter(pick)
	if faults.Delay > 0 {
		select {
		case <-ctx.Done():
			return external.ErrStoreUnavailable
		case <-time.After(faults.Delay):
		}
	}
	if faults.Down {
		return external.ErrStoreUnavailable
	}
	if limiter != nil && !limiter.Allow() {
		return external.ErrStoreThrottled
	}
	return nil
}

// count updates the counts of a key's first path element.
func (s *Store) count(key external.Key, change func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part, _, _ := strings.Cut(string(key), "/")
	counts := s.counts[part]
	change(&counts)
	s.counts[part] = counts
}

// losesResponse reports whether the response of a write is to be dropped.
func (s *Store) losesResponse(key external.Key) bool {
	faults := s.currentFaults()
	return faults.LoseResponse != nil && faults.LoseResponse(key)
}

// faultsAndLimiter returns the current faults and the limiter that pick selects.
func (s *Store) faultsAndLimiter(pick func(*Store) *rate.Limiter) (Faults, *rate.Limiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, pick(s)
}

// currentFaults returns the current faults.
func (s *Store) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// newLimiter returns a limiter whose burst is one second's worth of calls, or nil
// if there is no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}
