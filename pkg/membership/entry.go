package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// entry is the table's state of one member.
type entry struct {
	record Record
	// lastSeenAt is the time of the incarnation's last heartbeat, initially when
	// the entry was created.
	lastSeenAt time.Time
	// endedAt is when the incarnation was found to have ended.
	endedAt time.Time
	// linkLost is set from the end of the member's link until its next
	// heartbeat.
	linkLost      bool
	status        Status
	revision      ident.Revision
	holdsRevision ident.Revision
	// announcementsLeft is how many more ticks gossip the record.
	announcementsLeft int
}

// member returns the entry as a Member.
func (e *entry) member() Member {
	return Member{
		Host: e.record.Host, FailureDomain: e.record.FailureDomain, Region: e.record.Region,
		Incarnation: e.record.Incarnation, Status: e.status, LastSeenAt: e.lastSeenAt,
		Revision: e.revision, HoldsRevision: e.holdsRevision,
	}
}

// recordHeartbeat records a heartbeat. The revisions never decrease.
func (e *entry) recordHeartbeat(heartbeat Heartbeat, at time.Time) {
	if at.After(e.lastSeenAt) {
		e.lastSeenAt = at
		e.linkLost = false
	}
	e.revision = max(e.revision, heartbeat.Revision)
	e.holdsRevision = max(e.holdsRevision, heartbeat.HoldsRevision)
}

// end marks the incarnation as ended.
func (e *entry) end(at time.Time, left bool) {
	e.record.Ended = true
	e.record.Left = left
	e.endedAt = at
	e.announcementsLeft = announcementsPerChange
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
