package targetwatch

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/dissemination"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
)

// shouldRead reports whether this daemon must read the named list or load itself.
// It must if it has rank 0 for the name, which is the first, or if the last read is so
// old that the daemons of earlier ranks must have failed to read it.
func (w *Watcher) shouldRead(name string, readAt time.Time) bool {
	if w.opts.Dissemination == nil || w.opts.Members == nil {
		return true
	}
	rank := membership.Rank(name, w.opts.Self, membership.AliveHosts(w.opts.Members.Members()))
	return rank == 0 || time.Since(readAt) > time.Duration(staleIntervals+rank)*w.opts.ReadInterval
}

// readList reads the platform's list and publishes it.
func (w *Watcher) readList(ctx context.Context) {
	records, err := w.opts.Orderer.Targets(ctx)
	if err != nil {
		w.opts.Log.Warn("target list not read", "error", err)
		return
	}
	old := w.listed
	w.listed = make(map[ident.Target]external.TargetRecord, len(records))
	for _, record := range records {
		w.listed[record.Target] = record
		delete(old, record.Target)
		w.publish(dissemination.SectionTarget, record.Target, record, record.Leaving)
	}
	for gone := range old {
		w.withdraw(dissemination.SectionTarget, gone)
	}
	w.listedAt = time.Now()
	w.listReads++
	w.publish(dissemination.SectionListed, "", w.listReads, false)
}

// readLoads reads the loads that this daemon must read and publishes them.
func (w *Watcher) readLoads(ctx context.Context, view *view) {
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentPolls)
	for name, state := range view.targets {
		if !w.shouldRead("load/"+string(name), state.LoadAt) {
			continue
		}
		group.Go(func() error {
			load, ok := w.readLoad(ctx, state.Record, w.lastReading(&mu, name))
			if ok {
				mu.Lock()
				w.loads[name] = load
				mu.Unlock()
			}
			return nil
		})
	}
	// The functions return no errors: a load that can't be read becomes stale.
	_ = group.Wait()
	w.publishLoads()
}

// lastReading returns this daemon's last reading of a target.
func (w *Watcher) lastReading(mu *sync.Mutex, name ident.Target) loadReading {
	mu.Lock()
	defer mu.Unlock()
	return w.loads[name]
}

// readLoad polls one target for its load and, if it is an engine, its cache events.
// It returns false if the load can't be read.
func (w *Watcher) readLoad(ctx context.Context, record external.TargetRecord, load loadReading) (loadReading, bool) {
	report, err := w.fetchLoad(ctx, record)
	if err != nil {
		w.opts.Log.Debug("load report not read", "target", record.Target, "error", err)
		return load, false
	}
	load.report, load.readAt = report, time.Now()
	if record.Service != "" || w.opts.Events == nil {
		return load, true
	}
	events, err := w.fetchEvents(ctx, record, load.lastEvent)
	if err == nil && len(events) > 0 {
		load.lastEvent = events[len(events)-1].Sequence
		w.opts.Events(record.Target, events)
		w.publish(dissemination.SectionEvents, record.Target, events, false)
	}
	return load, true
}

// publishLoads publishes the changed loads and withdraws those that this daemon no
// longer reads.
func (w *Watcher) publishLoads() {
	for name, load := range w.loads {
		if time.Since(load.readAt) > staleIntervals*w.opts.ReadInterval {
			delete(w.loads, name)
			w.withdraw(dissemination.SectionLoad, name)
			w.withdraw(dissemination.SectionEvents, name)
			continue
		}
		if next := quantizeReport(load.report); !sameLoad(next, load.published) {
			load.published = next
			w.loads[name] = load
			w.publish(dissemination.SectionLoad, name, loadItem(next), false)
		}
	}
}

// publish publishes a value to the other daemons, if there are any.
func (w *Watcher) publish(section dissemination.Section, name ident.Target, value any, urgent bool) {
	if w.opts.Dissemination == nil {
		return
	}
	key := dissemination.Key{Section: section, Name: string(name)}
	if err := w.opts.Dissemination.Publish(key, value, urgent); err != nil {
		w.opts.Log.Error("target state not published", "target", name, "error", err)
	}
}

// withdraw removes a published value.
func (w *Watcher) withdraw(section dissemination.Section, name ident.Target) {
	if w.opts.Dissemination != nil {
		w.opts.Dissemination.Withdraw(dissemination.Key{Section: section, Name: string(name)})
	}
}

// loadItem is the published form of a load report. The item's name is the target.
type loadItem fleet.LoadReport
