package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// entry is the table's knowledge of one member.
type entry struct {
	record Record
	// heardAt is the newest sign of life of the incarnation.
	heardAt time.Time
	// endedAt is when the incarnation was found to be over.
	endedAt time.Time
	// doubted is set while a link's end is the newest that is known.
	doubted       bool
	status        Status
	revision      ident.Revision
	holdsRevision ident.Revision
	// tells counts down how often the record is still to be told.
	tells int
}

// member returns the entry as others read it.
func (e *entry) member() Member {
	return Member{
		Host: e.record.Host, FailureDomain: e.record.FailureDomain, Region: e.record.Region,
		Incarnation: e.record.Incarnation, Status: e.status, HeardAt: e.heardAt,
		Revision: e.revision, HoldsRevision: e.holdsRevision,
	}
}

// hear takes a sign of life in and keeps the revisions from going back.
func (e *entry) hear(beat Beat, at time.Time) {
	if at.After(e.heardAt) {
		e.heardAt = at
		e.doubted = false
	}
	e.revision = max(e.revision, beat.Revision)
	e.holdsRevision = max(e.holdsRevision, beat.HoldsRevision)
}

// end ends the incarnation.
func (e *entry) end(at time.Time, left bool) {
	e.record.Ended = true
	e.record.Left = left
	e.endedAt = at
	e.tells = tellCount
	e.status = Dead
	if left {
		e.status = Left
	}
}

// hash returns the record's part of a table's digest.
func (r *Record) hash() uint64 {
	var tail [9]byte
	binary.BigEndian.PutUint64(tail[:], uint64(r.Incarnation))
	if r.Ended {
		tail[8] = 1
	}
	return xxhash.Sum64(append([]byte(string(r.Host)+"\x00"+r.Address), tail[:]...))
}
