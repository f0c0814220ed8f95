package registry

import (
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
)

// outageGrace is how long a missing entry is kept after an outage of the store.
// Targets can't renew their entries during an outage, so the store drops them.
const outageGrace = 2 * time.Second

// Options configure a Registry.
type Options struct {
	// Prefix is the common prefix of the entries' keys.
	Prefix external.Key
	// Decode decodes one entry. It returns false if the entry describes no target.
	Decode func(entry external.Entry) (Registration, bool)
	// RemovalBound is the time within which a removal in the store must keep new work
	// from the target, and ReadDelay the longest usual time until it is read. A zero
	// RemovalBound sets no bound.
	RemovalBound, ReadDelay time.Duration
	Log                     *slog.Logger
}

// Registry is the view of the registered targets. Apply and Outage must be called
// from one goroutine; Snapshot may be called from any.
type Registry struct {
	opts    Options
	current atomic.Pointer[fleet.Snapshot]
	loaded  atomic.Bool

	targets map[external.Key]*trackedTarget
	// storeDown is set while the store can't be read. graceUntil is when entries
	// that are missing after an outage are removed. catchingUp is set until the changes
	// of the time of the outage have been applied.
	storeDown  bool
	graceUntil time.Time
	catchingUp bool
	// era is the store's era in which the entries were last read whole.
	era external.Era
	// unreadable are the keys whose entries describe no target.
	unreadable map[external.Key]bool
	// gone remembers removed targets.
	gone map[external.Key]goneTarget
}

// trackedTarget is one target of the view.
type trackedTarget struct {
	registration Registration
	// removeAt is when the target is removed from the view, if its entry was removed
	// from the store within the grace period after an outage and may come back, or zero.
	removeAt time.Time
}

// missing reports whether the target's entry was removed and may come back.
func (t *trackedTarget) missing() bool { return !t.removeAt.IsZero() }

var _ fleet.View = (*Registry)(nil)

// New returns an empty registry.
func New(opts Options) *Registry {
	r := &Registry{opts: opts, targets: make(map[external.Key]*trackedTarget), unreadable: make(map[external.Key]bool), gone: make(map[external.Key]goneTarget)}
	r.current.Store(fleet.NewSnapshot(nil))
	return r
}

// Snapshot returns the latest view.
func (r *Registry) Snapshot() *fleet.Snapshot { return r.current.Load() }

// Loaded reports whether all entries have been read at least once.
func (r *Registry) Loaded() bool { return r.loaded.Load() }

// Follows reports whether a key is a target's entry.
func (r *Registry) Follows(key external.Key) bool {
	return strings.HasPrefix(string(key), string(r.opts.Prefix))
}

// Outage records the start of a store outage, or its end if ended is not zero.
func (r *Registry) Outage(_, ended time.Time) {
	r.storeDown = ended.IsZero()
	if !r.storeDown {
		r.graceUntil, r.catchingUp = ended.Add(outageGrace), true
	}
}

// Apply updates the view with changed entries. If whole is set, entries is the
// complete list and all other entries are removed.
func (r *Registry) Apply(entries []external.Entry, whole bool, now time.Time) {
	changed := false
	r.forgetGone(now)
	if whole {
		entries = r.dropOutdated(entries, now)
	}
	for i := range entries {
		if entries[i].Deleted {
			r.forgetReturned(entries[i].Key, now)
			changed = r.remove(entries[i].Key, now) || changed
			continue
		}
		changed = r.put(&entries[i]) || changed
	}
	if whole {
		changed = r.removeUnlisted(entries, now) || changed
	}
	changed = r.expire(now) || changed
	r.catchingUp = r.storeDown
	if changed {
		r.publish()
	}
	if whole {
		r.loaded.Store(true)
	}
}

// removeUnlisted removes the entries that are missing from a complete list.
func (r *Registry) removeUnlisted(entries []external.Entry, now time.Time) bool {
	listed := make(map[external.Key]bool, len(entries))
	for i := range entries {
		listed[entries[i].Key] = true
	}
	changed := false
	for key := range r.targets {
		if !listed[key] {
			changed = r.remove(key, now) || changed
		}
	}
	return changed
}

// put adds or updates one entry and reports whether the view changed.
func (r *Registry) put(entry *external.Entry) bool {
	registration, ok := r.opts.Decode(*entry)
	known := r.targets[entry.Key]
	r.keepLeaving(entry.Key, &registration)
	if !ok {
		r.logUnreadable(entry)
		delete(r.targets, entry.Key)
		return known != nil
	}
	delete(r.unreadable, entry.Key)
	if known != nil && known.registration == registration && !known.missing() {
		return false
	}
	r.logChange(known, &registration, entry.Version)
	r.targets[entry.Key] = &trackedTarget{registration: registration}
	return true
}

// logUnreadable logs an entry that describes no target, once for each key.
func (r *Registry) logUnreadable(entry *external.Entry) {
	if r.unreadable[entry.Key] {
		return
	}
	r.unreadable[entry.Key] = true
	r.opts.Log.Warn("target entry unreadable", "key", entry.Key, "version", entry.Version, "bytes", len(entry.Value))
}

// logChange logs what changed about a target.
func (r *Registry) logChange(known *trackedTarget, registration *Registration, version external.Version) {
	event := "target changed"
	switch {
	case known == nil:
		event = "target seen"
	case known.registration.Incarnation != registration.Incarnation:
		event = "target restarted"
	case registration.Record.Leaving && !known.registration.Record.Leaving:
		event = "target leaving"
	case known.missing():
		event = "target back"
	}
	r.opts.Log.Info(event, "target", registration.Record.Target, "address", registration.Record.Address,
		"role", registration.Role, "leaving", registration.Record.Leaving, "version", version)
}

// remove removes an entry and reports whether the view changed. Within the grace
// period after an outage it only marks the entry as missing, since the entry may
// have expired because of the outage; leaving targets are removed at once.
func (r *Registry) remove(key external.Key, now time.Time) bool {
	delete(r.unreadable, key)
	known := r.targets[key]
	if known == nil || known.missing() {
		return false
	}
	if now.Before(r.graceUntil) && !known.registration.Record.Leaving {
		known.removeAt = r.removalTime(now)
		return true
	}
	r.drop(key, known, now)
	return true
}

// drop removes a target from the view.
func (r *Registry) drop(key external.Key, known *trackedTarget, now time.Time) {
	r.opts.Log.Info("target gone", "target", known.registration.Record.Target)
	r.gone[key] = goneTarget{registration: known.registration, at: now}
	delete(r.targets, key)
}

// removalTime returns when a target whose entry is missing at now gets no new work
// unless the entry is back. A removal that was made after the outage may be that of a
// target that left, for which RemovalBound holds.
func (r *Registry) removalTime(now time.Time) time.Time {
	latest := now.Add(r.opts.RemovalBound - r.opts.ReadDelay)
	if r.catchingUp || r.opts.RemovalBound == 0 || latest.After(r.graceUntil) {
		return r.graceUntil
	}
	return latest
}

// expire removes the entries that are still missing after the grace period.
func (r *Registry) expire(now time.Time) bool {
	if r.storeDown {
		return false
	}
	changed := false
	for key, known := range r.targets {
		if known.missing() && !now.Before(known.removeAt) {
			r.drop(key, known, now)
			changed = true
		}
	}
	return changed
}

// publish replaces the snapshot.
func (r *Registry) publish() {
	states := make([]fleet.TargetState, 0, len(r.targets))
	for _, known := range r.targets {
		registration := &known.registration
		states = append(states, fleet.TargetState{
			Record: registration.Record, Incarnation: registration.Incarnation, Cold: registration.Cold, UsableUntil: known.removeAt,
			Load: fleet.LoadReport{Role: registration.Role, Slots: registration.Slots},
		})
	}
	slices.SortFunc(states, func(a, b fleet.TargetState) int {
		return strings.Compare(string(a.Record.Target), string(b.Record.Target))
	})
	r.current.Store(fleet.NewSnapshot(states))
}
