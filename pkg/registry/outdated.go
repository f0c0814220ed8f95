package registry

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// goneMemory is how long a removed target is remembered. It is longer than the age of
// the copies that the store comes back from.
const goneMemory = time.Minute

// goneTarget is a target whose entry was removed.
type goneTarget struct {
	registration Registration
	at           time.Time
	// returned is the version at which an older copy of the store brought the entry
	// back, or NoVersion.
	returned external.Version
}

// forgetGone forgets the targets that were removed long ago and whose entries are not
// back.
func (r *Registry) forgetGone(now time.Time) {
	for key, target := range r.gone {
		if now.Sub(target.at) > goneMemory && target.returned == external.NoVersion {
			delete(r.gone, key)
		}
	}
}

// keepLeaving marks a registration as leaving if the same incarnation of the target was
// leaving before. An entry that calls it ready is from an older copy of the store.
func (r *Registry) keepLeaving(key external.Key, registration *Registration) {
	before, ok := r.lastKnown(key)
	if !ok || !before.Record.Leaving || before.Incarnation != registration.Incarnation || registration.Record.Leaving {
		return
	}
	registration.Record.Leaving, registration.Record.LeaveBy = true, before.Record.LeaveBy
}

// lastKnown returns the last known registration of a target that is there or was
// removed a short time ago.
func (r *Registry) lastKnown(key external.Key) (Registration, bool) {
	if known := r.targets[key]; known != nil {
		return known.registration, true
	}
	target, ok := r.gone[key]
	return target.registration, ok
}

// dropOutdated drops entries of a complete list that an older copy of the store brought
// back: those of targets that were removed since the copy, and of earlier incarnations
// than the known ones. Targets that are alive write their entries again.
func (r *Registry) dropOutdated(entries []external.Entry, now time.Time) []external.Entry {
	if len(entries) == 0 {
		return entries
	}
	risen := entries[0].Version.Era() != r.era
	r.era = entries[0].Version.Era()
	current := make([]external.Entry, 0, len(entries))
	for i := range entries {
		entry := &entries[i]
		if risen && r.outdated(entry) || r.returned(entry) {
			r.noteReturned(entry, now)
			continue
		}
		current = append(current, *entry)
	}
	for key, target := range r.gone {
		if target.at.Before(now) {
			r.forgetReturned(key, now)
		}
	}
	return current
}

// forgetReturned records that a removed target's entry is no longer in the store.
func (r *Registry) forgetReturned(key external.Key, now time.Time) {
	if target, ok := r.gone[key]; ok && target.returned != external.NoVersion {
		target.returned, target.at = external.NoVersion, now
		r.gone[key] = target
	}
}

// returned reports whether an entry was dropped before and not written again since.
func (r *Registry) returned(entry *external.Entry) bool {
	target, ok := r.gone[entry.Key]
	return ok && target.returned != external.NoVersion && target.returned == entry.Version
}

// noteReturned remembers a removed target for as long as its entry is listed.
func (r *Registry) noteReturned(entry *external.Entry, now time.Time) {
	if target, ok := r.gone[entry.Key]; ok {
		target.returned, target.at = entry.Version, now
		r.gone[entry.Key] = target
	}
}

// outdated reports whether an entry of an older copy describes a target that was removed
// or has restarted since.
func (r *Registry) outdated(entry *external.Entry) bool {
	registration, ok := r.opts.Decode(*entry)
	before, known := r.lastKnown(entry.Key)
	if !ok || !known {
		return false
	}
	_, removed := r.gone[entry.Key]
	return registration.Incarnation < before.Incarnation || removed && registration.Incarnation == before.Incarnation
}
