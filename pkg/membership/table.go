package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Table is the protocol state of the membership on one daemon. It does no I/O;
// time and randomness are passed in.
type Table struct {
	self    Record
	timing  Timing
	random  *rand.Rand
	members map[ident.Host]*entry
	// announcementsLeft is how many more ticks gossip the daemon's own record.
	announcementsLeft int
	// cachedDigest is the digest of the table while digestValid is set;
	// whatever changes a record clears it.
	cachedDigest uint64
	digestValid  bool
	// digestMismatches counts the consecutive gossips whose digest differed, by
	// sender.
	digestMismatches map[ident.Host]int
}

// NewTable returns a table that holds only the daemon itself.
func NewTable(self Record, timing Timing, random *rand.Rand) *Table {
	return &Table{
		self: self, timing: timing, random: random, announcementsLeft: announcementsPerChange,
		members: make(map[ident.Host]*entry), digestMismatches: make(map[ident.Host]int),
	}
}

// Self returns the daemon's own record. Its incarnation rises when others have
// ended it.
func (t *Table) Self() Record { return t.self }

// Members returns the known members but the daemon itself, sorted by host.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.members))
	for _, e := range t.members {
		members = append(members, e.member())
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return members
}

// Records returns the record of every known member, the daemon itself first.
func (t *Table) Records() []Record {
	records := []Record{t.self}
	for _, e := range t.members {
		records = append(records, e.record)
	}
	slices.SortFunc(records[1:], func(a, b Record) int { return cmp.Compare(a.Host, b.Host) })
	return records
}

// Merge merges a record at the given time. The record of the higher incarnation
// wins. Within one incarnation an ended record wins, unless the member had a
// heartbeat within SuspectAfter and has not left by itself.
func (t *Table) Merge(now time.Time, record Record) {
	if record.Host == t.self.Host {
		t.refute(record)
		return
	}
	e := t.members[record.Host]
	switch {
	case e == nil || record.Incarnation > e.record.Incarnation:
		t.addEntry(now, record)
	case record.Incarnation < e.record.Incarnation || e.record.Ended:
		return
	case record.Ended && (record.Left || now.Sub(e.lastSeenAt) > t.timing.SuspectAfter):
		t.end(e, now, record.Left)
	case !record.Ended && e.record.Address == "":
		e.record = record
		e.announcementsLeft = announcementsPerChange
		t.digestValid = false
	}
}

// addEntry adds an entry for a member's new incarnation.
func (t *Table) addEntry(now time.Time, record Record) {
	e := &entry{record: record, lastSeenAt: now, status: Alive, announcementsLeft: announcementsPerChange}
	if record.Ended {
		e.end(now, record.Left)
	}
	t.members[record.Host] = e
	t.digestValid = false
}

// end ends a member's incarnation.
func (t *Table) end(e *entry, now time.Time, left bool) {
	e.end(now, left)
	t.digestValid = false
}

// refute switches to a higher incarnation if other daemons have ended the current
// one. It ignores a higher incarnation that has not ended, which belongs to the
// process that replaced this one, or to an earlier process that other daemons are
// about to end.
func (t *Table) refute(record Record) {
	if t.self.Left || record.Incarnation < t.self.Incarnation || !record.Ended {
		return
	}
	t.self.Incarnation = record.Incarnation + 1
	t.announcementsLeft = announcementsPerChange
	t.digestValid = false
}

// RecordHeartbeat records a heartbeat that a member sent at the given time. It
// returns false if the incarnation is unknown or has ended.
func (t *Table) RecordHeartbeat(at time.Time, heartbeat Heartbeat) bool {
	e := t.members[heartbeat.Host]
	if e == nil || heartbeat.Incarnation != e.record.Incarnation || e.record.Ended {
		return false
	}
	e.recordHeartbeat(heartbeat, at)
	return true
}

// LinkEnded makes a member suspect, since its link has ended, until its next
// heartbeat.
func (t *Table) LinkEnded(host ident.Host) {
	if e := t.members[host]; e != nil {
		e.linkLost = true
	}
}

// Leave ends the daemon's own membership.
func (t *Table) Leave() {
	t.self.Ended, t.self.Left = true, true
	t.announcementsLeft = announcementsPerChange
	t.digestValid = false
}

// digest returns the hash of the whole table.
func (t *Table) digest() uint64 {
	if t.digestValid {
		return t.cachedDigest
	}
	t.cachedDigest, t.digestValid = t.self.hash(), true
	for _, e := range t.members {
		t.cachedDigest ^= e.record.hash()
	}
	return t.cachedDigest
}
