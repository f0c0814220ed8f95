package targetwatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/dissemination"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// view is the merged state of the targets at one moment.
type view struct {
	// listedAt is when this daemon last read the platform's list, or when the
	// item about another daemon's read arrived, whichever is later.
	listedAt time.Time
	targets  map[ident.Target]*fleet.TargetState
}

// merge combines what this daemon has read with what other daemons have published.
// The targets are those of the newest read of the platform's list.
func (w *Watcher) merge(now time.Time) view {
	v := view{listedAt: w.listedAt, targets: make(map[ident.Target]*fleet.TargetState, len(w.listed))}
	records := w.listed
	if reader, at := w.latestListReader(); at.After(v.listedAt) {
		v.listedAt = at
		records = w.recordsFrom(reader)
	}
	for name, record := range records {
		v.targets[name] = &fleet.TargetState{Record: record, SeenAt: v.listedAt, Draining: record.Leaving}
	}
	for name, load := range w.loads {
		v.updateLoad(name, load.report, load.readAt)
	}
	w.mergeLoads(&v)
	w.forwardEvents()
	v.markDraining(w.opts.Holds, w.leavingTargets(now))
	return v
}

// latestListReader returns the other daemon whose item about a read of the
// platform's list arrived last, and when it arrived.
func (w *Watcher) latestListReader() (dissemination.Instance, time.Time) {
	var reader dissemination.Instance
	var at time.Time
	for _, item := range w.items(dissemination.SectionListed) {
		if !item.Own && item.At.After(at) {
			reader, at = item.Instance, item.At
		}
	}
	return reader, at
}

// recordsFrom returns the platform's list as another daemon has read it.
func (w *Watcher) recordsFrom(reader dissemination.Instance) map[ident.Target]external.TargetRecord {
	records := make(map[ident.Target]external.TargetRecord)
	for _, item := range w.items(dissemination.SectionTarget) {
		if item.Instance != reader {
			continue
		}
		if record, ok := w.recordCache.get(&item); ok {
			records[record.Target] = record
		}
	}
	return records
}

// leavingTargets returns the targets that a recent record of any daemon marks as
// leaving. Such a record is published as urgent, so it can arrive before the item
// that announces its reader's list read.
func (w *Watcher) leavingTargets(now time.Time) map[ident.Target]bool {
	leaving := make(map[ident.Target]bool)
	for _, item := range w.items(dissemination.SectionTarget) {
		if now.Sub(item.At) >= staleIntervals*w.opts.ReadInterval {
			continue
		}
		if record, ok := w.recordCache.get(&item); ok && record.Leaving {
			leaving[record.Target] = true
		}
	}
	return leaving
}

// mergeLoads merges the loads that other daemons have published. A load is dated
// by the last message from its reader, not by its own arrival, since the reader
// publishes only changes and withdraws the loads that it no longer reads.
func (w *Watcher) mergeLoads(v *view) {
	for _, item := range w.items(dissemination.SectionLoad) {
		if item.Own {
			continue
		}
		if load, ok := w.reportCache.get(&item); ok {
			v.updateLoad(ident.Target(item.Name), fleet.LoadReport(load), item.LastSeenAt)
		}
	}
}

// updateLoad keeps the newer of a target's current report and the given one, by
// incarnation, sequence number and time. LoadAt becomes the later time of both,
// but a report of an older incarnation does not advance it.
func (v *view) updateLoad(name ident.Target, report fleet.LoadReport, at time.Time) {
	state, ok := v.targets[name]
	if !ok {
		return
	}
	old := &state.Load
	order := cmp.Or(cmp.Compare(report.Incarnation, old.Incarnation), cmp.Compare(report.Sequence, old.Sequence), at.Compare(state.LoadAt))
	if state.LoadAt.IsZero() || order > 0 {
		state.Load = report
	}
	if at.After(state.LoadAt) && report.Incarnation >= old.Incarnation {
		state.LoadAt = at
	}
}

// markDraining marks the targets that are under a hold or leaving.
func (v *view) markDraining(holds HoldSource, leaving map[ident.Target]bool) {
	if holds != nil {
		if current := holds.CurrentHolds(); current != nil {
			for _, hold := range current.Targets {
				leaving[hold.Target] = true
			}
		}
	}
	for name := range leaving {
		if state, ok := v.targets[name]; ok {
			state.Draining = true
		}
	}
}

// forwardEvents passes the cache events that other daemons have published to
// Options.Events.
func (w *Watcher) forwardEvents() {
	if w.opts.Events == nil {
		return
	}
	for _, item := range w.items(dissemination.SectionEvents) {
		name := ident.Target(item.Name)
		var events []fleet.CacheEvent
		if item.Own || !item.At.After(w.forwardedAt[name]) || peer.Decode(item.Value, &events) != nil {
			continue
		}
		w.forwardedAt[name] = item.At
		w.opts.Events(name, events)
	}
}

// items returns a section's items of all daemons, this one included.
func (w *Watcher) items(section dissemination.Section) []dissemination.StoredItem {
	if w.opts.Dissemination == nil {
		return nil
	}
	return w.opts.Dissemination.Items(section)
}

// states returns the targets sorted by name.
func (v *view) states() []fleet.TargetState {
	names := slices.Sorted(maps.Keys(v.targets))
	states := make([]fleet.TargetState, 0, len(names))
	for _, name := range names {
		states = append(states, *v.targets[name])
	}
	return states
}
