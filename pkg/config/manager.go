package config

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/platform"
)

// Manager keeps the newest configuration of the store in memory.
type Manager struct {
	store   platform.Store
	log     *slog.Logger
	current atomic.Pointer[Snapshot]
}

var _ Source = (*Manager)(nil)

// retryDelay is the pause after a failed watch.
const retryDelay = 500 * time.Millisecond

// NewManager returns a manager that has read nothing yet.
func NewManager(store platform.Store, log *slog.Logger) *Manager {
	return &Manager{store: store, log: log}
}

// Current returns the newest configuration, or nil before the first.
func (m *Manager) Current() *Snapshot { return m.current.Load() }

// Run follows the store until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	cursor := platform.StartCursor
	for ctx.Err() == nil {
		changes, err := m.store.Watch(ctx, StoreKey, cursor)
		if err != nil {
			m.log.Warn("configuration watch failed", "error", err)
			sleep(ctx, retryDelay)
			continue
		}
		cursor = changes.Next
		for _, entry := range changes.Entries {
			m.apply(entry)
		}
	}
	return nil
}

// apply takes an entry in where it is newer than the one in force.
func (m *Manager) apply(entry platform.Entry) {
	if entry.Key != StoreKey || entry.Deleted {
		return
	}
	revision := ident.Revision(entry.Version)
	if current := m.Current(); current != nil && revision <= current.Revision {
		return
	}
	document, err := Parse(entry.Value)
	if err != nil {
		m.log.Error("configuration in the store is malformed", "revision", revision, "error", err)
		return
	}
	m.current.Store(NewSnapshot(revision, document))
	m.log.Info("configuration in force", "revision", revision)
}

// sleep waits, or returns early when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
