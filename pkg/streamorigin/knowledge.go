package streamorigin

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// rewriteGrace is how long after the store has come back from an older copy its targets may
// still have to write their entries again.
const rewriteGrace = 2 * time.Second

// knowledge is what the records in the store state of the versions that began streams before
// this process started.
type knowledge struct {
	// needed is set if records are read at all.
	needed bool
	// loaded is set once all records have been read, first in the store's era loadedIn.
	loaded   bool
	loadedIn external.Era
	// traced is set if requests were served before this process started.
	traced bool
	pools  map[ident.Pool]*poolRecord
}

// poolRecord is the record of one pool as last read from or written to the store.
type poolRecord struct {
	record
	// base is the version of the record's key, or external.NoVersion.
	base external.Version
	// wasRead is set once the store had a record. completeFrom is from when on the record
	// and this process's own view together state all versions.
	wasRead      bool
	completeFrom time.Time
	// dueSince is since when the record differs from what this process would write, or
	// zero, and retryAt when it may be written again after a failure.
	dueSince, retryAt time.Time
}

// newKnowledge returns the knowledge of a process that reads no records.
func newKnowledge() knowledge { return knowledge{pools: make(map[ident.Pool]*poolRecord)} }

// complete reports whether all versions that may have begun streams of a pool are known.
// unrecordedFrom is from when on the view of a process states them without a record, if
// requests were served before it started.
func (k *knowledge) complete(pool ident.Pool, now, unrecordedFrom time.Time) bool {
	if !k.needed {
		return true
	}
	if !k.loaded {
		return false
	}
	if !now.Before(unrecordedFrom) {
		return true
	}
	if found := k.pools[pool]; found != nil && found.wasRead {
		return !now.Before(found.completeFrom)
	}
	return !k.traced
}

// recordOf returns the record of a pool, which is empty if the store has none.
func (k *knowledge) recordOf(pool ident.Pool) *poolRecord {
	found := k.pools[pool]
	if found == nil {
		found = &poolRecord{}
		k.pools[pool] = found
	}
	return found
}

// read takes over a record that was read while the store was in the given era. It returns
// the versions that the record before did not have.
func (k *knowledge) read(
	pool ident.Pool, got record, base external.Version, era external.Era, now time.Time,
) (added []ident.SoftwareVersion) {
	found := k.recordOf(pool)
	for _, version := range got.Versions {
		if !found.has(version) {
			added = append(added, version)
		}
	}
	completeFrom := now
	if got.Era < era {
		completeFrom = now.Add(rewriteGrace)
	}
	if !found.wasRead || completeFrom.Before(found.completeFrom) {
		found.completeFrom = completeFrom
	}
	found.record, found.base, found.wasRead = got, base, true
	return added
}
