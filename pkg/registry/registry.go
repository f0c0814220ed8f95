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

// returnGrace is how long after an outage of the store a missing entry is
// waited for, since the store drops entries that it could not renew.
const returnGrace = 2 * time.Second

// Options are what a Registry works with.
type Options struct {
	// Prefix starts the keys of the entries.
	Prefix external.Key
	// Decode reads one entry. It returns false for one that names no target.
	Decode func(entry external.Entry) (Announcement, bool)
	Log    *slog.Logger
}

// Registry is the view of the targets. Apply and Outage belong to one
// goroutine; Snapshot may be called by any.
type Registry struct {
	opts    Options
	current atomic.Pointer[fleet.Snapshot]
	loaded  atomic.Bool

	targets map[external.Key]*member
	// outage says that the store can't be read; graceUntil ends the wait for
	// entries that are missing after an outage.
	outage     bool
	graceUntil time.Time
}

// member is one target's entry.
type member struct {
	said Announcement
	// missing says that the entry is gone from the store and may come back.
	missing bool
}

var _ fleet.View = (*Registry)(nil)

// New returns a registry without targets.
func New(opts Options) *Registry {
	r := &Registry{opts: opts, targets: make(map[external.Key]*member)}
	r.current.Store(fleet.NewSnapshot(nil))
	return r
}

// Snapshot returns the newest view.
func (r *Registry) Snapshot() *fleet.Snapshot { return r.current.Load() }

// Loaded reports whether the entries were read once.
func (r *Registry) Loaded() bool { return r.loaded.Load() }

// Follows reports whether a key is a target's entry.
func (r *Registry) Follows(key external.Key) bool {
	return strings.HasPrefix(string(key), string(r.opts.Prefix))
}

// Outage notes when the store can't be read and when it can again.
func (r *Registry) Outage(_, ended time.Time) {
	r.outage = ended.IsZero()
	if !r.outage {
		r.graceUntil = ended.Add(returnGrace)
	}
}

// Apply takes in changed entries.
func (r *Registry) Apply(entries []external.Entry, whole bool, now time.Time) {
	changed := false
	for i := range entries {
		if entries[i].Deleted {
			changed = r.remove(entries[i].Key, now) || changed
			continue
		}
		changed = r.put(&entries[i]) || changed
	}
	if whole {
		changed = r.removeOthers(entries, now) || changed
	}
	changed = r.expire(now) || changed
	if changed {
		r.publish()
	}
	if whole {
		r.loaded.Store(true)
	}
}

// removeOthers takes out the entries that a whole list lacks.
func (r *Registry) removeOthers(entries []external.Entry, now time.Time) bool {
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

// put takes in one entry and reports whether the view changes.
func (r *Registry) put(entry *external.Entry) bool {
	said, ok := r.opts.Decode(*entry)
	known := r.targets[entry.Key]
	if !ok {
		if known == nil {
			return false
		}
		r.opts.Log.Warn("target entry unreadable", "key", entry.Key, "version", entry.Version)
		delete(r.targets, entry.Key)
		return true
	}
	if known != nil && known.said == said && !known.missing {
		return false
	}
	r.logChange(known, &said, entry.Version)
	r.targets[entry.Key] = &member{said: said}
	return true
}

// logChange tells what changed about a target.
func (r *Registry) logChange(known *member, said *Announcement, version external.Version) {
	event := "target changed"
	switch {
	case known == nil:
		event = "target seen"
	case known.said.Incarnation != said.Incarnation:
		event = "target restarted"
	case said.Record.Leaving && !known.said.Record.Leaving:
		event = "target leaving"
	case known.missing:
		event = "target back"
	}
	r.opts.Log.Info(event, "target", said.Record.Target, "address", said.Record.Address,
		"role", said.Role, "leaving", said.Record.Leaving, "version", version)
}

// remove takes an entry out, or waits for it where an outage of the store may
// have made it lapse.
func (r *Registry) remove(key external.Key, now time.Time) bool {
	known := r.targets[key]
	if known == nil {
		return false
	}
	if now.Before(r.graceUntil) && !known.said.Record.Leaving {
		known.missing = true
		return false
	}
	r.opts.Log.Info("target gone", "target", known.said.Record.Target)
	delete(r.targets, key)
	return true
}

// expire removes the entries that did not come back after an outage.
func (r *Registry) expire(now time.Time) bool {
	if r.outage || now.Before(r.graceUntil) {
		return false
	}
	changed := false
	for key, known := range r.targets {
		if known.missing {
			changed = r.remove(key, now) || changed
		}
	}
	return changed
}

// publish replaces the view.
func (r *Registry) publish() {
	states := make([]fleet.TargetState, 0, len(r.targets))
	for _, known := range r.targets {
		said := &known.said
		states = append(states, fleet.TargetState{
			Record: said.Record, Incarnation: said.Incarnation, Cold: said.Cold,
			Load: fleet.LoadReport{Role: said.Role, Slots: said.Slots},
		})
	}
	slices.SortFunc(states, func(a, b fleet.TargetState) int {
		return strings.Compare(string(a.Record.Target), string(b.Record.Target))
	})
	r.current.Store(fleet.NewSnapshot(states))
}
