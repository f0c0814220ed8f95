package memstore

import (
	"context"
	"strings"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// watch is one watch in progress. It is woken only by changes under its prefix
// and at the next expiry of a lease, which keeps many concurrent watches cheap.
type watch struct {
	prefix external.Key
	// woken receives a signal at a change; further signals are dropped until it
	// is read.
	woken chan struct{}
	// cut is set if the store went back to a snapshot meanwhile.
	cut bool
}

// Watch waits until there are changes under prefix after the cursor. It returns
// none if ctx is done first. It fails with external.ErrHistoryGone for a cursor that
// the store does not have, and is cut if the store goes back to a snapshot.
func (s *Store) Watch(ctx context.Context, prefix external.Key, after external.Cursor) (external.Changes, error) {
	w := &watch{prefix: prefix, woken: make(chan struct{}, 1)}
	s.addWatch(w)
	defer s.removeWatch(w)
	if err := s.checkHistory(ctx, after); err != nil {
		return external.Changes{}, err
	}
	for {
		changes, untilExpiry, err := s.changesAfter(w, after)
		if err != nil || len(changes.Entries) > 0 {
			return changes, err
		}
		timer := time.NewTimer(untilExpiry)
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

// ActiveWatches returns the number of watches in progress.
func (s *Store) ActiveWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.watches)
}

// maxWait is the longest wait if no lease expires.
const maxWait = time.Minute

// changesAfter returns the changes for a watch after the cursor, and the time until the
// next lease expires, at most maxWait and at least a millisecond. It fails if the watch
// was cut.
func (s *Store) changesAfter(w *watch, after external.Cursor) (external.Changes, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.cut {
		return external.Changes{}, 0, external.ErrStoreUnavailable
	}
	s.expire()
	changes := external.Changes{Next: s.cursor, Whole: after == external.StartCursor}
	for key, v := range s.values {
		if v.changed > after && strings.HasPrefix(string(key), string(w.prefix)) {
			changes.Entries = append(changes.Entries, v.copy())
		}
	}
	sortEntries(changes.Entries)
	untilExpiry := maxWait
	for _, l := range s.leases {
		untilExpiry = min(untilExpiry, l.expires-s.clock.Now())
	}
	return changes, max(untilExpiry, time.Millisecond), nil
}

// addWatch adds a watch in progress.
func (s *Store) addWatch(w *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches[w] = struct{}{}
}

// removeWatch removes a watch.
func (s *Store) removeWatch(w *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watches, w)
}

// wake signals the watches whose prefix matches a changed key.
func (s *Store) wake(key external.Key) {
	for w := range s.watches {
		if !strings.HasPrefix(string(key), string(w.prefix)) {
			continue
		}
		select {
		case w.woken <- struct{}{}:
		default:
		}
	}
}
