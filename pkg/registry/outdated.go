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
}

// forgetGone forgets the targets that were removed long ago.
func (r *Registry) forgetGone(now time.Time) {
	for key, target := range r.gone {
		if now.Sub(target.at) > goneMemory {
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

// dropOutdated drops entries of a complete list that was read after the store came back
// from an older copy: those of targets that were removed since the copy, and of earlier
// incarnations than the known ones. Targets that are alive write their entries again.
func (r *Registry) dropOutdated(entries []external.Entry) []external.Entry {
	if len(entries) == 0 || entries[0].Version.Era() == r.era {
		return entries
	}
	r.era = entries[0].Version.Era()
	current := make([]external.Entry, 0, len(entries))
	for i := range entries {
		if !r.outdated(&entries[i]) {
			current = append(current, entries[i])
		}
	}
	return current
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
