package targetwatch

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/platform"
)

// Watcher reads the platform's list of targets at a steady pace.
type Watcher struct {
	orderer platform.TargetOrderer
	log     *slog.Logger
	every   time.Duration
	current atomic.Pointer[fleet.Snapshot]
}

var _ fleet.View = (*Watcher)(nil)

// New returns a watcher with an empty view.
func New(orderer platform.TargetOrderer, log *slog.Logger, every time.Duration) *Watcher {
	w := &Watcher{orderer: orderer, log: log, every: every}
	w.current.Store(fleet.NewSnapshot(nil))
	return w
}

// Snapshot returns the newest view.
func (w *Watcher) Snapshot() *fleet.Snapshot { return w.current.Load() }

// Run reads the list until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(w.every)
	defer ticker.Stop()
	for {
		w.read(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// read replaces the view by the platform's list.
func (w *Watcher) read(ctx context.Context) {
	records, err := w.orderer.Targets(ctx)
	if err != nil {
		w.log.Warn("target list not read", "error", err)
		return
	}
	now := time.Now()
	states := make([]fleet.TargetState, 0, len(records))
	for _, record := range records {
		states = append(states, fleet.TargetState{Record: record, SeenAt: now, Draining: record.Leaving})
	}
	slices.SortFunc(states, func(a, b fleet.TargetState) int {
		return strings.Compare(string(a.Record.Target), string(b.Record.Target))
	})
	w.current.Store(fleet.NewSnapshot(states))
}
