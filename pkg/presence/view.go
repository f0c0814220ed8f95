package presence

import (
	"log/slog"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
)

// gracePeriod is how long a daemon counts as present after its key was removed. If
// a store loses leases in an outage, daemons write their keys again within this time.
const gracePeriod = 6 * time.Second

// View holds the daemons of the fleet. It implements membership.View and
// mirror.Listener.
type View struct {
	self ident.Host
	log  *slog.Logger

	mu      sync.Mutex
	daemons map[external.Key]knownDaemon
	// outage is set while the store can't be read. No daemon expires then.
	outage bool
	// readableSince is when the store was first read, or was readable again after
	// an outage. It is zero while the store can't be read.
	readableSince time.Time
}

// knownDaemon is the state of one incarnation of a daemon.
type knownDaemon struct {
	record Record
	// removedAt is when its key was removed, or zero.
	removedAt time.Time
}

var _ membership.View = (*View)(nil)

// NewView returns a view without other daemons.
func NewView(self ident.Host, log *slog.Logger) *View {
	return &View{self: self, log: log, daemons: make(map[external.Key]knownDaemon)}
}

// Follows reports whether a key holds a daemon's record.
func (v *View) Follows(key external.Key) bool { return isRecord(key) }

// Outage records the start or the end of an outage of the store.
func (v *View) Outage(_, ended time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.outage = ended.IsZero()
	v.readableSince = ended
	if !v.outage {
		v.restartGrace(ended)
	}
}

// restartGrace restarts the grace period of the daemons whose keys are removed,
// since they could not write during the outage.
func (v *View) restartGrace(now time.Time) {
	for key, daemon := range v.daemons {
		if !daemon.removedAt.IsZero() {
			daemon.removedAt = now
			v.daemons[key] = daemon
		}
	}
}

// Apply records changed keys.
func (v *View) Apply(entries []external.Entry, whole bool, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.readableSince.IsZero() {
		v.readableSince = now
	}
	if whole {
		for key := range v.daemons {
			v.markRemoved(key, now)
		}
	}
	for i := range entries {
		v.apply(&entries[i], now)
	}
	v.removeExpired(now)
}

// apply records one changed key.
func (v *View) apply(entry *external.Entry, now time.Time) {
	if entry.Deleted {
		v.markRemoved(entry.Key, now)
		return
	}
	record, err := decodeRecord(entry.Value)
	if err != nil {
		v.log.Error("presence record unreadable", "key", entry.Key, "error", err)
		return
	}
	if _, seen := v.daemons[entry.Key]; !seen && record.Host != v.self {
		v.log.Info("daemon seen", "peer", record.Host, "failureDomain", record.FailureDomain, "version", entry.Version)
	}
	v.daemons[entry.Key] = knownDaemon{record: record}
}

// markRemoved records that a key was removed.
func (v *View) markRemoved(key external.Key, now time.Time) {
	daemon, ok := v.daemons[key]
	if ok && daemon.removedAt.IsZero() {
		daemon.removedAt = now
		v.daemons[key] = daemon
	}
}

// removeExpired drops the daemons whose grace period is over.
func (v *View) removeExpired(now time.Time) {
	for key, daemon := range v.daemons {
		if !v.expired(&daemon, now) {
			continue
		}
		delete(v.daemons, key)
		if daemon.record.Host != v.self {
			v.log.Info("daemon gone", "peer", daemon.record.Host, "lingered", now.Sub(daemon.removedAt))
		}
	}
}

// expired reports whether the grace period of a daemon is over.
func (v *View) expired(daemon *knownDaemon, now time.Time) bool {
	return !v.outage && !daemon.removedAt.IsZero() && now.Sub(daemon.removedAt) > gracePeriod
}

// Ended reports whether an incarnation of a daemon has ended: the host has a newer
// one, or its grace period is over. It returns false for a missing key until the
// store has been readable for a grace period, since daemons may still have to
// write their keys again.
func (v *View) Ended(host ident.Host, incarnation ident.Incarnation) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	present := false
	for _, daemon := range v.daemons {
		if daemon.record.Host != host {
			continue
		}
		if daemon.record.Incarnation > incarnation {
			return true
		}
		present = present || daemon.record.Incarnation == incarnation
	}
	return !present && !v.outage && !v.readableSince.IsZero() && time.Since(v.readableSince) > gracePeriod
}

// Members returns the other daemons that are present, each with its newest
// incarnation.
func (v *View) Members() []membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	newest := make(map[ident.Host]Record)
	now := time.Now()
	for _, daemon := range v.daemons {
		record := daemon.record
		if record.Host == v.self || v.expired(&daemon, now) {
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
			Status: membership.Alive, LastSeenAt: now, Address: record.Address,
		})
	}
	return members
}

// AbsenceDelay is how long a daemon remains present after it last renewed its key.
const AbsenceDelay = leaseTTL + gracePeriod

// Removed reports whether the key of an incarnation of a daemon was in the store and is no
// longer.
func (v *View) Removed(host ident.Host, incarnation ident.Incarnation) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, daemon := range v.daemons {
		if daemon.record.Host == host && daemon.record.Incarnation == incarnation {
			return !daemon.removedAt.IsZero()
		}
	}
	return false
}

// Precedes reports whether an incarnation of a daemon before the given one is present.
func (v *View) Precedes(host ident.Host, incarnation ident.Incarnation) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for _, daemon := range v.daemons {
		if daemon.record.Host == host && daemon.record.Incarnation < incarnation && !v.expired(&daemon, now) {
			return true
		}
	}
	return false
}

// Daemons returns the number of daemons present, this one included.
func (v *View) Daemons() int { return 1 + len(v.Members()) }
