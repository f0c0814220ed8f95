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

// view is what is known of the targets at one moment.
type view struct {
	// listedAt is when the platform's list was last read, here or elsewhere.
	listedAt time.Time
	targets  map[ident.Target]*fleet.TargetState
}

// merge joins what this daemon has read with what came from others. The
// newest reading of the list says which targets there are.
func (w *Watcher) merge(now time.Time) view {
	v := view{listedAt: w.listedAt, targets: make(map[ident.Target]*fleet.TargetState, len(w.listed))}
	records := w.listed
	if lister, at := w.newestLister(); at.After(v.listedAt) {
		v.listedAt = at
		records = w.recordsOf(lister)
	}
	for name, record := range records {
		v.targets[name] = &fleet.TargetState{Record: record, SeenAt: v.listedAt, Draining: record.Leaving}
	}
	for name, load := range w.loads {
		v.setLoad(name, load.report, load.at)
	}
	w.mergeLoads(&v)
	w.handEvents()
	v.drain(w.opts.Holds, w.anyLeaving(now))
	return v
}

// newestLister returns the daemon that has read the platform's list last, and
// when this one learned that.
func (w *Watcher) newestLister() (dissemination.Life, time.Time) {
	var lister dissemination.Life
	var at time.Time
	for _, item := range w.items(dissemination.SectionListed) {
		if !item.Own && item.At.After(at) {
			lister, at = item.Life, item.At
		}
	}
	return lister, at
}

// recordsOf returns the list as a daemon has read it.
func (w *Watcher) recordsOf(lister dissemination.Life) map[ident.Target]external.TargetRecord {
	records := make(map[ident.Target]external.TargetRecord)
	for _, item := range w.items(dissemination.SectionTarget) {
		if item.Life != lister {
			continue
		}
		if record, ok := w.records.get(&item); ok {
			records[record.Target] = record
		}
	}
	return records
}

// anyLeaving returns the targets that any daemon lately read as leaving, since
// such news comes before its reader's next count of readings.
func (w *Watcher) anyLeaving(now time.Time) map[ident.Target]bool {
	leaving := make(map[ident.Target]bool)
	for _, item := range w.items(dissemination.SectionTarget) {
		if now.Sub(item.At) >= staleReads*w.opts.Every {
			continue
		}
		if record, ok := w.records.get(&item); ok && record.Leaving {
			leaving[record.Target] = true
		}
	}
	return leaving
}

// mergeLoads takes the loads in that others have read. A load is as old as the
// last sign of life of its reader, who withdraws what it no longer reads.
func (w *Watcher) mergeLoads(v *view) {
	for _, item := range w.items(dissemination.SectionLoad) {
		if item.Own {
			continue
		}
		if load, ok := w.reports.get(&item); ok {
			v.setLoad(ident.Target(item.Name), fleet.LoadReport(load), item.HeardAt)
		}
	}
}

// setLoad keeps the newer of two reports of a target.
func (v *view) setLoad(name ident.Target, report fleet.LoadReport, at time.Time) {
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

// drain marks the targets that are held or leaving.
func (v *view) drain(holds HoldSource, leaving map[ident.Target]bool) {
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

// handEvents hands on the cache events that others have read.
func (w *Watcher) handEvents() {
	if w.opts.Events == nil {
		return
	}
	for _, item := range w.items(dissemination.SectionEvents) {
		name := ident.Target(item.Name)
		var events []fleet.CacheEvent
		if item.Own || !item.At.After(w.heard[name]) || peer.Decode(item.Value, &events) != nil {
			continue
		}
		w.heard[name] = item.At
		w.opts.Events(name, events)
	}
}

// items returns what others and this daemon have spread.
func (w *Watcher) items(section dissemination.Section) []dissemination.StoredItem {
	if w.opts.Spread == nil {
		return nil
	}
	return w.opts.Spread.Items(section)
}

// states returns the targets by name.
func (v *view) states() []fleet.TargetState {
	names := slices.Sorted(maps.Keys(v.targets))
	states := make([]fleet.TargetState, 0, len(names))
	for _, name := range names {
		states = append(states, *v.targets[name])
	}
	return states
}
