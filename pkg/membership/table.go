package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Table is the state of the membership on one daemon. It does no input or
// output, and time and chance are passed in.
type Table struct {
	self    Record
	timing  Timing
	random  *rand.Rand
	members map[ident.Host]*entry
	// tells counts down how often the own record is still to be told.
	tells int
	// sum is the digest of the table while fresh is set; whatever changes a
	// record clears it.
	sum   uint64
	fresh bool
	// differed counts the gossips in a row whose digest differed, by sender.
	differed map[ident.Host]int
}

// NewTable returns a table that knows the daemon itself.
func NewTable(self Record, timing Timing, random *rand.Rand) *Table {
	return &Table{
		self: self, timing: timing, random: random, tells: tellCount,
		members: make(map[ident.Host]*entry), differed: make(map[ident.Host]int),
	}
}

// Self returns the daemon's own record. Its incarnation rises when others have
// ended it.
func (t *Table) Self() Record { return t.self }

// Members returns the known members but the daemon itself, by host.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.members))
	for _, e := range t.members {
		members = append(members, e.member())
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return members
}

// Records returns what is known of every member, the daemon itself first.
func (t *Table) Records() []Record {
	records := []Record{t.self}
	for _, e := range t.members {
		records = append(records, e.record)
	}
	slices.SortFunc(records[1:], func(a, b Record) int { return cmp.Compare(a.Host, b.Host) })
	return records
}

// Merge takes a record in at the given time. Of two records the one of the
// higher incarnation wins; of one incarnation, the one that ended it, unless
// its member was heard just now.
func (t *Table) Merge(now time.Time, record Record) {
	if record.Host == t.self.Host {
		t.refute(record)
		return
	}
	e := t.members[record.Host]
	switch {
	case e == nil || record.Incarnation > e.record.Incarnation:
		t.admit(now, record)
	case record.Incarnation < e.record.Incarnation || e.record.Ended:
		return
	case record.Ended && (record.Left || now.Sub(e.heardAt) > t.timing.SuspectAfter):
		t.end(e, now, record.Left)
	case !record.Ended && e.record.Address == "":
		e.record = record
		e.tells = tellCount
		t.fresh = false
	}
}

// admit starts an entry for a member's new incarnation.
func (t *Table) admit(now time.Time, record Record) {
	e := &entry{record: record, heardAt: now, status: Alive, tells: tellCount}
	if record.Ended {
		e.end(now, record.Left)
	}
	t.members[record.Host] = e
	t.fresh = false
}

// end ends a member's incarnation.
func (t *Table) end(e *entry, now time.Time, left bool) {
	e.end(now, left)
	t.fresh = false
}

// refute takes a higher incarnation where others have ended the present one. A
// higher one that has not ended belongs to the process that replaced this one,
// or to an earlier one that others are about to end.
func (t *Table) refute(record Record) {
	if t.self.Left || record.Incarnation < t.self.Incarnation || !record.Ended {
		return
	}
	t.self.Incarnation = record.Incarnation + 1
	t.tells = tellCount
	t.fresh = false
}

// Heard takes a sign of life in that a member gave at the given time. It
// reports false for an incarnation that is over or not known.
func (t *Table) Heard(at time.Time, beat Beat) bool {
	e := t.members[beat.Host]
	if e == nil || beat.Incarnation != e.record.Incarnation || e.record.Ended {
		return false
	}
	e.hear(beat, at)
	return true
}

// LinkEnded doubts a member whose link has ended until it is heard again.
func (t *Table) LinkEnded(host ident.Host) {
	if e := t.members[host]; e != nil {
		e.doubted = true
	}
}

// Leave ends the daemon's own membership.
func (t *Table) Leave() {
	t.self.Ended, t.self.Left = true, true
	t.tells = tellCount
	t.fresh = false
}

// digest returns the hash of the whole table.
func (t *Table) digest() uint64 {
	if t.fresh {
		return t.sum
	}
	t.sum, t.fresh = t.self.hash(), true
	for _, e := range t.members {
		t.sum ^= e.record.hash()
	}
	return t.sum
}
