package targetwatch

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Watcher maintains the view of the targets. The load of each target, and the
// platform's list, is read by the daemon of rank 0 for it, which publishes the
// result to the others; rank 0 is the first. A daemon of a later rank reads it as
// well once it is stale, so that a daemon without peers reads everything.
type Watcher struct {
	opts    Options
	current atomic.Pointer[fleet.Snapshot]

	// The fields below are only used by the goroutine of Run.
	listed    map[ident.Target]external.TargetRecord
	listedAt  time.Time
	listReads uint64
	loads     map[ident.Target]loadReading
	// forwardedAt is the arrival time of the last event batch that was forwarded
	// of each target.
	forwardedAt map[ident.Target]time.Time
	// recordCache and reportCache hold the decoded items of other daemons.
	recordCache decodeCache[external.TargetRecord]
	reportCache decodeCache[loadItem]
}

// loadReading is this daemon's last reading of a target.
type loadReading struct {
	report fleet.LoadReport
	readAt time.Time
	// published is the report that was last published.
	published fleet.LoadReport
	// lastEvent is the sequence number of the last cache event that was read.
	lastEvent uint64
}

var _ fleet.View = (*Watcher)(nil)

// New returns a watcher that reads only the platform's list, and no loads.
func New(orderer external.TargetOrderer, log *slog.Logger, readInterval time.Duration) *Watcher {
	return NewShared(Options{Orderer: orderer, Log: log, ReadInterval: readInterval})
}

// NewShared returns a watcher with an empty view. It shares the reading with other
// daemons if the options name them.
func NewShared(opts Options) *Watcher {
	opts.setDefaults()
	w := &Watcher{
		opts: opts, listed: make(map[ident.Target]external.TargetRecord),
		loads: make(map[ident.Target]loadReading), forwardedAt: make(map[ident.Target]time.Time),
	}
	w.current.Store(fleet.NewSnapshot(nil))
	return w
}

// Snapshot returns the newest view.
func (w *Watcher) Snapshot() *fleet.Snapshot { return w.current.Load() }

// Run maintains the view until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(w.opts.ReadInterval)
	defer ticker.Stop()
	for {
		w.step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// step reads what this daemon must read and replaces the view.
func (w *Watcher) step(ctx context.Context) {
	view := w.merge(time.Now())
	if w.shouldRead("list", view.listedAt) {
		w.readList(ctx)
		view = w.merge(time.Now())
	}
	if w.opts.Client != nil {
		w.readLoads(ctx, &view)
	}
	view = w.merge(time.Now())
	w.current.Store(fleet.NewSnapshot(view.states()))
}
