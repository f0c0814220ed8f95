package capacity

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Book holds what is known about all targets of a daemon.
type Book struct {
	mu      sync.Mutex
	targets map[ident.Target]*Target
	byKey   map[uint32]*Target
	groups  map[Group]*group
	outbox  *Outbox
	// onChange is called with each lasting change; it may be nil.
	onChange func(Change)
}

// NewBook returns a book without targets. onChange is called with each lasting change of a
// target; it must not block or call the book, and may be nil.
func NewBook(onChange func(Change)) *Book {
	return &Book{
		onChange: onChange,
		targets:  make(map[ident.Target]*Target), byKey: make(map[uint32]*Target),
		groups: make(map[Group]*group), outbox: NewOutbox(),
	}
}

// Target returns what is known about an incarnation of a target. What was known about
// another incarnation, or in another group, is forgotten.
func (b *Book) Target(ref Ref) *Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.targets[ref.Target]
	if known != nil && known.ref == ref {
		return known
	}
	if known != nil {
		b.forget(known)
	}
	t := &Target{ref: ref, key: ref.key(), group: b.group(ref.Group), outbox: b.outbox, onChange: b.onChange}
	b.targets[ref.Target], b.byKey[t.key] = t, t
	return t
}

// Len returns the number of targets.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.targets)
}

// Keep forgets the targets for which keep returns false, and the groups without targets.
func (b *Book) Keep(keep func(ident.Target) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	used := make(map[Group]bool)
	for name, t := range b.targets {
		if keep(name) {
			used[t.ref.Group] = true
			continue
		}
		delete(b.targets, name)
		b.forget(t)
	}
	for name := range b.groups {
		if !used[name] {
			delete(b.groups, name)
		}
	}
}

// TakeSummary returns the samples that are to be sent to a number of daemons now, or nil.
func (b *Book) TakeSummary(receivers int, now time.Time) []byte {
	return b.outbox.Take(receivers, now)
}

// MergeSummary takes the samples of other daemons into account. Entries of incarnations
// that the book doesn't hold, and malformed ones, are left out.
func (b *Book) MergeSummary(summary []byte, now time.Time) {
	for len(summary) >= entryBytes {
		id, level, samples, ok := decodeEntry(summary[:entryBytes])
		summary = summary[entryBytes:]
		if t := b.find(id.key); ok && t != nil {
			t.add(int(id.bucket), level, samples, now)
		}
	}
}

// find returns the target with a key, or nil.
func (b *Book) find(key uint32) *Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byKey[key]
}

// Spread is how far the targets of a service differ: the times at the fastest and at the
// slowest one in relation to the median.
type Spread struct {
	Serves           string
	Fastest, Slowest float64
}

// Spreads returns the spreads of all services. One with several software versions has one
// for each.
func (b *Book) Spreads(now time.Time) []Spread {
	b.mu.Lock()
	defer b.mu.Unlock()
	var spreads []Spread
	for name, group := range b.groups {
		if fastest, slowest, ok := group.spread(now); ok {
			spreads = append(spreads, Spread{Serves: name.Serves, Fastest: fastest, Slowest: slowest})
		}
	}
	return spreads
}

// forget removes a target's summaries and its part in the median of its group. b.mu must be
// held.
func (b *Book) forget(t *Target) {
	delete(b.byKey, t.key)
	t.group.drop(t.key)
}

// group returns a group, and creates it if there is none. b.mu must be held.
func (b *Book) group(name Group) *group {
	g, ok := b.groups[name]
	if !ok {
		g = newGroup()
		b.groups[name] = g
	}
	return g
}

// key returns the hash of an incarnation that summaries contain. Two incarnations of one
// hash share their samples at the receivers.
func (r Ref) key() uint32 {
	return uint32(xxhash.Sum64String(string(r.Target) + "/" + strconv.FormatInt(int64(r.Incarnation), 16)))
}
