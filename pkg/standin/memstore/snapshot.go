package memstore

import (
	"context"
	"maps"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// Snapshot is a copy of a store's state at one moment.
type Snapshot struct {
	cursor    external.Cursor
	values    map[external.Key]*value
	leases    map[external.LeaseID]lease
	lastLease external.LeaseID
}

// Snapshot returns a copy of the present state.
func (s *Store) Snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	copied := &Snapshot{cursor: s.cursor, lastLease: s.lastLease, values: maps.Clone(s.values), leases: make(map[external.LeaseID]lease)}
	for id, l := range s.leases {
		copied.leases[id] = *l
	}
	return copied
}

// WithoutLeases returns the snapshot as it is once all of its leases have ended: the keys
// bound to them are gone too.
func (s *Snapshot) WithoutLeases() *Snapshot {
	ended := &Snapshot{cursor: s.cursor, lastLease: s.lastLease, values: maps.Clone(s.values)}
	for key, v := range ended.values {
		if v.entry.Lease != external.NoLease {
			delete(ended.values, key)
		}
	}
	return ended
}

// Restore goes back to a snapshot and starts the next era. Cursors, versions and lease
// IDs that were given out since are given out again. Leases granted since are gone;
// those of the snapshot last for their full TTL from now on, with the keys bound to
// them. Watches in progress are cut.
func (s *Store) Restore(snapshot *Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.cursor, s.lastLease = snapshot.cursor, snapshot.lastLease
	s.values = maps.Clone(snapshot.values)
	s.leases = make(map[external.LeaseID]*lease, len(snapshot.leases))
	for id, l := range snapshot.leases {
		s.leases[id] = &lease{ttl: l.ttl, expires: s.clock.Now() + l.ttl}
	}
	for w := range s.watches {
		w.cut = true
		select {
		case w.woken <- struct{}{}:
		default:
		}
	}
}

// checkHistory records the era of the answer to a watch, and fails if the store does
// not have its cursor.
func (s *Store) checkHistory(ctx context.Context, after external.Cursor) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	external.RecordEra(ctx, s.era)
	if after > s.cursor {
		return external.ErrHistoryGone
	}
	return nil
}
