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

// Store passes calls on to another store, but for the faults that are set.
type Store struct {
	inner external.Store

	mu     sync.Mutex
	faults Faults
	counts map[string]Counts
	writes *rate.Limiter
	reads  *rate.Limiter
}

var _ external.Store = (*Store)(nil)

// New wraps a store without faults.
func New(inner external.Store) *Store {
	s := &Store{inner: inner, counts: make(map[string]Counts)}
	s.Set(Faults{})
	return s
}

// Set replaces the faults.
func (s *Store) Set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.writes = limiterOf(faults.WritesPerSecond)
	s.reads = limiterOf(faults.ReadsPerSecond)
}

// Counts returns the calls so far by the first part of their keys. Lease calls
// count under "lease".
func (s *Store) Counts() map[string]Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

// Get passes a read on.
func (s *Store) Get(ctx context.Context, key external.Key) (external.Entry, error) {
	if err := s.read(ctx, key); err != nil {
		return external.Entry{}, err
	}
	return s.inner.Get(ctx, key)
}

// List passes a read on.
func (s *Store) List(ctx context.Context, prefix external.Key) ([]external.Entry, error) {
	if err := s.read(ctx, prefix); err != nil {
		return nil, err
	}
	return s.inner.List(ctx, prefix)
}

// CompareAndSwap passes a write on and may lose its answer.
func (s *Store) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	if err := s.write(ctx, swap.Key); err != nil {
		return 0, err
	}
	version, err := s.inner.CompareAndSwap(ctx, swap)
	if err == nil && s.loses(swap.Key) {
		return 0, external.ErrStoreUnknown
	}
	return version, err
}

// Delete passes a write on and may lose its answer.
func (s *Store) Delete(ctx context.Context, key external.Key, version external.Version) error {
	if err := s.write(ctx, key); err != nil {
		return err
	}
	err := s.inner.Delete(ctx, key, version)
	if err == nil && s.loses(key) {
		return external.ErrStoreUnknown
	}
	return err
}

// Grant passes a write on and may lose its answer.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (external.LeaseID, error) {
	if err := s.write(ctx, leaseKey); err != nil {
		return 0, err
	}
	id, err := s.inner.Grant(ctx, ttl)
	if err == nil && s.loses(leaseKey) {
		return 0, external.ErrStoreUnknown
	}
	return id, err
}

// KeepAlive passes a write on and may lose its answer.
func (s *Store) KeepAlive(ctx context.Context, id external.LeaseID) error {
	if err := s.write(ctx, leaseKey); err != nil {
		return err
	}
	err := s.inner.KeepAlive(ctx, id)
	if err == nil && s.loses(leaseKey) {
		return external.ErrStoreUnknown
	}
	return err
}

// Revoke passes a write on and may lose its answer.
func (s *Store) Revoke(ctx context.Context, id external.LeaseID) error {
	if err := s.write(ctx, leaseKey); err != nil {
		return err
	}
	err := s.inner.Revoke(ctx, id)
	if err == nil && s.loses(leaseKey) {
		return external.ErrStoreUnknown
	}
	return err
}

// Watch passes a watch on, late where watches are held back, or waits for ever
// where they are silent.
func (s *Store) Watch(ctx context.Context, prefix external.Key, after external.Cursor) (external.Changes, error) {
	s.count(prefix, func(c *Counts) { c.Watches++ })
	if err := s.read(ctx, prefix); err != nil {
		return external.Changes{}, err
	}
	if delay := s.snapshot().WatchDelay; delay > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
	changes, err := s.inner.Watch(ctx, prefix, after)
	if s.snapshot().SilentWatches {
		<-ctx.Done()
		return external.Changes{Next: after}, nil
	}
	return changes, err
}

// leaseKey is what lease calls are counted under.
const leaseKey external.Key = "lease"

// read counts a read and fails where the store is down or out of rate.
func (s *Store) read(ctx context.Context, key external.Key) error {
	s.count(key, func(c *Counts) { c.Reads++ })
	return s.pass(ctx, func(s *Store) *rate.Limiter { return s.reads })
}

// write counts a write and fails where the store is down or out of rate.
func (s *Store) write(ctx context.Context, key external.Key) error {
	s.count(key, func(c *Counts) { c.Writes++ })
	return s.pass(ctx, func(s *Store) *rate.Limiter { return s.writes })
}

// pass applies the delay, the outage and the rate.
func (s *Store) pass(ctx context.Context, pick func(*Store) *rate.Limiter) error {
	faults, limiter := s.present(pick)
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

// count changes the counts of a key's first part.
func (s *Store) count(key external.Key, change func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part, _, _ := strings.Cut(string(key), "/")
	counts := s.counts[part]
	change(&counts)
	s.counts[part] = counts
}

// loses reports whether the answer of a write is lost.
func (s *Store) loses(key external.Key) bool {
	faults := s.snapshot()
	return faults.LoseAnswer != nil && faults.LoseAnswer(key)
}

// present returns the faults and the picked limiter at present.
func (s *Store) present(pick func(*Store) *rate.Limiter) (Faults, *rate.Limiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, pick(s)
}

// snapshot returns the faults at present.
func (s *Store) snapshot() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// limiterOf returns a limiter with a burst of one second, or nil for no bound.
func limiterOf(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}
