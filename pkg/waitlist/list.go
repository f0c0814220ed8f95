package waitlist

import (
	"cmp"
	"math"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Entry is a waiting request.
type Entry struct {
	Workspace ident.Workspace
	// Urgency is the request's rank; 0 goes first.
	Urgency int
	// Deadline is when the answer becomes useless to the caller.
	Deadline time.Time
	// Cost is what the request takes of the targets, in any unit that all entries share.
	Cost float64
	// Bytes is the memory that the request holds while it waits.
	Bytes int
	// Version is the software version that the target must have, or empty if any may take
	// the request.
	Version ident.SoftwareVersion

	try     func() error
	done    chan struct{}
	err     error
	settled bool
}

// Bounds limit a List.
type Bounds struct {
	// Entries is the largest number of entries, Bytes the largest sum of their Bytes.
	Entries, Bytes int
}

// servedMemory is the time constant with which the List forgets what a workspace was
// given: some times the waits that deadlines of seconds allow.
const servedMemory = 10 * time.Second

// List orders the waiting requests for one model. More urgent ones go first. Among equally
// urgent ones the workspace goes first that was given least lately, so that a workspace
// with many waiting requests delays its own; within a workspace, the earliest deadline. It
// is not safe for concurrent use.
type List struct {
	bounds  Bounds
	entries []*Entry
	bytes   int
	served  map[ident.Workspace]served
}

// served is the decaying sum of the costs of what a workspace was given.
type served struct {
	sum float64
	at  time.Time
}

// level returns the sum at a time.
func (s served) level(now time.Time) float64 {
	return s.sum * math.Exp(-now.Sub(s.at).Seconds()/servedMemory.Seconds())
}

// NewList returns an empty list.
func NewList(bounds Bounds) *List {
	return &List{bounds: bounds, served: make(map[ident.Workspace]served)}
}

// Add adds an entry. It returns the entries that go last and exceed the bounds, which are
// no longer in the list; the new one may be among them.
func (l *List) Add(e *Entry, now time.Time) (displaced []*Entry) {
	l.entries = append(l.entries, e)
	l.bytes += e.Bytes
	if l.full() {
		l.sort(now)
	}
	for l.full() {
		last := l.entries[len(l.entries)-1]
		l.Remove(last)
		displaced = append(displaced, last)
	}
	return displaced
}

// full reports whether the entries exceed the bounds.
func (l *List) full() bool { return len(l.entries) > l.bounds.Entries || l.bytes > l.bounds.Bytes }

// Order returns the entries in the order in which they go. The slice is the caller's.
func (l *List) Order(now time.Time) []*Entry {
	l.sort(now)
	return slices.Clone(l.entries)
}

// sort orders the entries. An entry behind others of its workspace counts as if these had
// been served, so that the workspaces take turns.
func (l *List) sort(now time.Time) {
	slices.SortStableFunc(l.entries, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), a.Deadline.Compare(b.Deadline))
	})
	ahead := make(map[ident.Workspace]float64)
	before := make(map[*Entry]float64, len(l.entries))
	for _, e := range l.entries {
		if _, ok := ahead[e.Workspace]; !ok {
			ahead[e.Workspace] = l.served[e.Workspace].level(now)
		}
		before[e] = ahead[e.Workspace]
		ahead[e.Workspace] += e.Cost
	}
	slices.SortStableFunc(l.entries, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(before[a], before[b]))
	})
}

// Grant removes an entry that got room, and charges its workspace.
func (l *List) Grant(e *Entry, now time.Time) {
	l.Remove(e)
	l.served[e.Workspace] = served{sum: l.served[e.Workspace].level(now) + e.Cost, at: now}
	l.forget(now)
}

// forget drops the sums of workspaces that were given nothing for long.
func (l *List) forget(now time.Time) {
	for name, s := range l.served {
		if now.Sub(s.at) > 5*servedMemory {
			delete(l.served, name)
		}
	}
}

// Remove removes an entry, if it is in the list.
func (l *List) Remove(e *Entry) {
	if i := slices.Index(l.entries, e); i >= 0 {
		l.entries = slices.Delete(l.entries, i, i+1)
		l.bytes -= e.Bytes
	}
}

// Len returns the number of entries.
func (l *List) Len() int { return len(l.entries) }
