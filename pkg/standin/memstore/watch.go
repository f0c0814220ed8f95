package memstore

import (
	"context"
	"strings"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// waiter is one watch that waits. Only changes under its prefix wake it, and
// the end of the lease that lapses next, so that many watches cost little.
type waiter struct {
	prefix external.Key
	// woken takes one token at the first change.
	woken chan struct{}
}

// Watch waits for changes under prefix.
func (s *Store) Watch(ctx context.Context, prefix external.Key, after external.Cursor) (external.Changes, error) {
	w := &waiter{prefix: prefix, woken: make(chan struct{}, 1)}
	s.enter(w)
	defer s.leave(w)
	for {
		changes, left := s.changesAfter(prefix, after)
		if len(changes.Entries) > 0 {
			return changes, nil
		}
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
			timer.Stop()
			return external.Changes{Next: after}, nil
		case <-w.woken:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Watching returns how many watches wait at present.
func (s *Store) Watching() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiters)
}

// maxWait bounds a wait in which no lease lapses.
const maxWait = time.Minute

// changesAfter collects the changes under prefix and returns how long it is
// until the next lease lapses.
func (s *Store) changesAfter(prefix external.Key, after external.Cursor) (external.Changes, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	changes := external.Changes{Next: s.cursor, Whole: after == external.StartCursor}
	for key, v := range s.values {
		if v.changed > after && strings.HasPrefix(string(key), string(prefix)) {
			changes.Entries = append(changes.Entries, v.copy())
		}
	}
	sortEntries(changes.Entries)
	left := maxWait
	for _, l := range s.leases {
		left = min(left, l.expires-s.clock.Now())
	}
	return changes, max(left, time.Millisecond)
}

// enter adds a waiting watch.
func (s *Store) enter(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters[w] = struct{}{}
}

// leave removes a waiting watch.
func (s *Store) leave(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, w)
}

// wake wakes the watches whose prefix a changed key has.
func (s *Store) wake(key external.Key) {
	for w := range s.waiters {
		if !strings.HasPrefix(string(key), string(w.prefix)) {
			continue
		}
		select {
		case w.woken <- struct{}{}:
		default:
		}
	}
}
