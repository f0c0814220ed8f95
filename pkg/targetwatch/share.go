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

// due reports whether something falls to this daemon to be read: by its rank,
// or since the view of it is older than the ranks before it explain.
func (w *Watcher) due(name string, readAt time.Time) bool {
	if w.opts.Spread == nil || w.opts.Members == nil {
		return true
	}
	rank := membership.Rank(name, w.opts.Self, membership.AliveHosts(w.opts.Members.Members()))
	return rank == 0 || time.Since(readAt) > time.Duration(staleReads+rank)*w.opts.Every
}

// readList reads the platform's list and spreads it.
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
	w.reads++
	w.publish(dissemination.SectionListed, "", w.reads, false)
}

// readLoads reads the loads that fall to this daemon and spreads them.
func (w *Watcher) readLoads(ctx context.Context, view *view) {
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(pollsAtOnce)
	for name, state := range view.targets {
		if !w.due("load/"+string(name), state.LoadAt) {
			continue
		}
		group.Go(func() error {
			load, ok := w.readLoad(ctx, state.Record, w.loadOf(&mu, name))
			if ok {
				mu.Lock()
				w.loads[name] = load
				mu.Unlock()
			}
			return nil
		})
	}
	// The questions report no errors; a target that is silent grows old.
	_ = group.Wait()
	w.spreadLoads()
}

// loadOf returns what this daemon has last read of a target.
func (w *Watcher) loadOf(mu *sync.Mutex, name ident.Target) ownLoad {
	mu.Lock()
	defer mu.Unlock()
	return w.loads[name]
}

// readLoad asks one target for its load and its cache events.
func (w *Watcher) readLoad(ctx context.Context, record external.TargetRecord, load ownLoad) (ownLoad, bool) {
	report, err := w.askLoad(ctx, record)
	if err != nil {
		w.opts.Log.Debug("load not read", "target", record.Target, "error", err)
		return load, false
	}
	load.report, load.at = report, time.Now()
	if record.Service != "" || w.opts.Events == nil {
		return load, true
	}
	events, err := w.askEvents(ctx, record, load.event)
	if err == nil && len(events) > 0 {
		load.event = events[len(events)-1].Sequence
		w.opts.Events(record.Target, events)
		w.publish(dissemination.SectionEvents, record.Target, events, false)
	}
	return load, true
}

// spreadLoads publishes the loads that have changed, and withdraws those that
// this daemon no longer reads.
func (w *Watcher) spreadLoads() {
	for name, load := range w.loads {
		if time.Since(load.at) > staleReads*w.opts.Every {
			delete(w.loads, name)
			w.withdraw(dissemination.SectionLoad, name)
			w.withdraw(dissemination.SectionEvents, name)
			continue
		}
		if next := spreadable(load.report); !same(next, load.spread) {
			load.spread = next
			w.loads[name] = load
			w.publish(dissemination.SectionLoad, name, loadItem(next), false)
		}
	}
}

// publish spreads a value.
func (w *Watcher) publish(section dissemination.Section, name ident.Target, value any, urgent bool) {
	if w.opts.Spread == nil {
		return
	}
	key := dissemination.Key{Section: section, Name: string(name)}
	if err := w.opts.Spread.Publish(key, value, urgent); err != nil {
		w.opts.Log.Error("target's state not spread", "target", name, "error", err)
	}
}

// withdraw takes a value back.
func (w *Watcher) withdraw(section dissemination.Section, name ident.Target) {
	if w.opts.Spread != nil {
		w.opts.Spread.Withdraw(dissemination.Key{Section: section, Name: string(name)})
	}
}

// loadItem is a load report on the links: its target is the item's name.
type loadItem fleet.LoadReport
