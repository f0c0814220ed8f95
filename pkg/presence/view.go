package presence

import (
	"log/slog"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
)

// lingerFor is how long a daemon counts as there after its key went. A store
// that lost leases in an outage has the key back before.
const lingerFor = 6 * time.Second

// View tells which other daemons there are.
type View struct {
	self ident.Host
	log  *slog.Logger

	mu    sync.Mutex
	hosts map[external.Key]sighting
	// outage says that the store can't be read, so that nobody is taken for
	// gone.
	outage bool
	// followedSince is when the store was first read whole, or again after an
	// outage; zero while it can't be read.
	followedSince time.Time
}

// sighting is what is known of one life of a daemon.
type sighting struct {
	record Record
	// goneAt is when its key went, or zero.
	goneAt time.Time
}

var _ membership.View = (*View)(nil)

// NewView returns a view that knows of no other daemon.
func NewView(self ident.Host, log *slog.Logger) *View {
	return &View{self: self, log: log, hosts: make(map[external.Key]sighting)}
}

// Follows reports whether a key is a daemon's.
func (v *View) Follows(key external.Key) bool { return isRecord(key) }

// Outage notes when the store can't be read and when it can again.
func (v *View) Outage(_, ended time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.outage = ended.IsZero()
	v.followedSince = ended
	if !v.outage {
		v.restartLinger(ended)
	}
}

// restartLinger has those whose keys are gone linger from now on, since they
// could not write during an outage.
func (v *View) restartLinger(now time.Time) {
	for key, known := range v.hosts {
		if !known.goneAt.IsZero() {
			known.goneAt = now
			v.hosts[key] = known
		}
	}
}

// Apply takes in changed keys.
func (v *View) Apply(entries []external.Entry, whole bool, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.followedSince.IsZero() {
		v.followedSince = now
	}
	if whole {
		for key := range v.hosts {
			v.lost(key, now)
		}
	}
	for i := range entries {
		v.apply(&entries[i], now)
	}
	v.forget(now)
}

// apply takes in one key.
func (v *View) apply(entry *external.Entry, now time.Time) {
	if entry.Deleted {
		v.lost(entry.Key, now)
		return
	}
	record, err := decodeRecord(entry.Value)
	if err != nil {
		v.log.Error("daemon's record unreadable", "key", entry.Key, "error", err)
		return
	}
	if _, known := v.hosts[entry.Key]; !known && record.Host != v.self {
		v.log.Info("daemon seen", "peer", record.Host, "failureDomain", record.FailureDomain, "version", entry.Version)
	}
	v.hosts[entry.Key] = sighting{record: record}
}

// lost notes that a key went.
func (v *View) lost(key external.Key, now time.Time) {
	known, ok := v.hosts[key]
	if ok && known.goneAt.IsZero() {
		known.goneAt = now
		v.hosts[key] = known
	}
}

// forget drops the lives whose keys went long ago.
func (v *View) forget(now time.Time) {
	for key, known := range v.hosts {
		if !v.gone(&known, now) {
			continue
		}
		delete(v.hosts, key)
		if known.record.Host != v.self {
			v.log.Info("daemon gone", "peer", known.record.Host, "lingered", now.Sub(known.goneAt))
		}
	}
}

// gone reports whether a life no longer counts.
func (v *View) gone(known *sighting, now time.Time) bool {
	return !v.outage && !known.goneAt.IsZero() && now.Sub(known.goneAt) > lingerFor
}

// Ended reports whether a life of a daemon is over: the host has a newer one, or
// its key has been gone for long. A view that has followed the store for a short
// time can't tell, since daemons may have to write their keys again.
func (v *View) Ended(host ident.Host, life ident.Incarnation) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	there := false
	for _, known := range v.hosts {
		if known.record.Host != host {
			continue
		}
		if known.record.Incarnation > life {
			return true
		}
		there = there || known.record.Incarnation == life
	}
	return !there && !v.outage && !v.followedSince.IsZero() && time.Since(v.followedSince) > lingerFor
}

// Members returns the other daemons that are there, each once.
func (v *View) Members() []membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	newest := make(map[ident.Host]Record)
	now := time.Now()
	for _, known := range v.hosts {
		record := known.record
		if record.Host == v.self || v.gone(&known, now) {
			continue
		}
		if other, ok := newest[record.Host]; !ok || record.Incarnation > other.Incarnation {
			newest[record.Host] = record
		}
	}
	members := make([]membership.Member, 0, len(newest))
	for _, record := range newest {
		members = append(members, membership.Member{
			Host: record.Host, FailureDomain: record.FailureDomain, Incarnation: record.Incarnation,
			Status: membership.Alive, HeardAt: now, Address: record.Address,
		})
	}
	return members
}

// Daemons counts the daemons that are there, this one included.
func (v *View) Daemons() int { return 1 + len(v.Members()) }
