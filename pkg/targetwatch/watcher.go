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

// Watcher keeps the view of the targets. Each target's load, and the
// platform's list, is read by the host of the first rank, whose figures the
// others take from the dissemination. A host of a later rank reads as well
// once its view has grown old, so that daemons without peers read everything.
type Watcher struct {
	opts    Options
	current atomic.Pointer[fleet.Snapshot]

	// The rest belongs to the goroutine of Run.
	listed   map[ident.Target]external.TargetRecord
	listedAt time.Time
	reads    uint64
	loads    map[ident.Target]ownLoad
	// heard is when each batch of events was last handed on, by target.
	heard map[ident.Target]time.Time
	// records and reports keep what others' items say.
	records decoded[external.TargetRecord]
	reports decoded[loadItem]
}

// ownLoad is a load that this daemon has read.
type ownLoad struct {
	report fleet.LoadReport
	at     time.Time
	// spread is the report as others were told.
	spread fleet.LoadReport
	// event is the newest cache event.
	event uint64
}

var _ fleet.View = (*Watcher)(nil)

// New returns a watcher that reads the platform's list alone.
func New(orderer external.TargetOrderer, log *slog.Logger, every time.Duration) *Watcher {
	return NewShared(Options{Orderer: orderer, Log: log, Every: every})
}

// NewShared returns a watcher with an empty view that shares the reading with
// other daemons.
func NewShared(opts Options) *Watcher {
	opts.fill()
	w := &Watcher{
		opts: opts, listed: make(map[ident.Target]external.TargetRecord),
		loads: make(map[ident.Target]ownLoad), heard: make(map[ident.Target]time.Time),
	}
	w.current.Store(fleet.NewSnapshot(nil))
	return w
}

// Snapshot returns the newest view.
func (w *Watcher) Snapshot() *fleet.Snapshot { return w.current.Load() }

// Run keeps the view until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(w.opts.Every)
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

// step reads what falls to this daemon and replaces the view.
func (w *Watcher) step(ctx context.Context) {
	view := w.merge(time.Now())
	if w.due("list", view.listedAt) {
		w.readList(ctx)
		view = w.merge(time.Now())
	}
	if w.opts.Client != nil {
		w.readLoads(ctx, &view)
	}
	view = w.merge(time.Now())
	w.current.Store(fleet.NewSnapshot(view.states()))
}
