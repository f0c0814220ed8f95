package config

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
)

// retryDelay is the pause after a failed watch.
const retryDelay = 500 * time.Millisecond

// runWatch keeps a watch of the store while this daemon is one of the few that
// should. Each watch is bounded, and a silent one does no harm, since the reads
// go on beside it.
func (m *Manager) runWatch(ctx context.Context) error {
	cursor := external.StartCursor
	for ctx.Err() == nil {
		if !m.watches() {
			sleep(ctx, m.opts.Timing.ConfirmEvery)
			continue
		}
		changes, err := m.watchOnce(ctx, cursor)
		if err != nil {
			m.opts.Log.Debug("configuration watch failed", "error", err)
			sleep(ctx, retryDelay)
			continue
		}
		cursor = changes.Next
		for _, entry := range changes.Entries {
			m.takeEntry(entry, fromWatch)
		}
	}
	return nil
}

// watchOnce waits for changes for a bounded time.
func (m *Manager) watchOnce(ctx context.Context, cursor external.Cursor) (external.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Timing.WatchFor)
	defer cancel()
	m.setWatching(true)
	defer m.setWatching(false)
	m.metrics.reads.WithLabelValues("watch").Inc()
	return m.opts.Store.Watch(ctx, KeyPrefix, cursor)
}

// setWatching notes whether a watch is open.
func (m *Manager) setWatching(open bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watching = open
}

// watches reports whether this daemon is one of those that keep a watch.
func (m *Manager) watches() bool {
	if m.opts.View == nil {
		return true
	}
	return keepsWatch(m.opts.Host, m.opts.View.Members(), m.opts.Timing.Watchers)
}

// keepsWatch reports whether the host ranks among the first of the live ones.
// Daemons with differing views at worst keep a few watches more or fewer.
func keepsWatch(self ident.Host, members []membership.Member, watchers int) bool {
	mine := watchRank(self)
	before := 0
	for _, member := range members {
		if member.Status != membership.Alive {
			continue
		}
		rank := watchRank(member.Host)
		if rank < mine || rank == mine && strings.Compare(string(member.Host), string(self)) < 0 {
			before++
		}
	}
	return before < watchers
}

// watchRank orders the hosts for watches.
func watchRank(host ident.Host) uint64 { return xxhash.Sum64String("watch/" + string(host)) }
