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

// watchRetryDelay is the delay after a failed watch.
const watchRetryDelay = 500 * time.Millisecond

// runWatch keeps a watch of the store open while this daemon is one of the few
// that shouldWatch selects. Each watch is bounded in time. A watch that misses
// changes does no harm, since runConfirm keeps reading the store.
func (m *Manager) runWatch(ctx context.Context) error {
	cursor := external.StartCursor
	for ctx.Err() == nil {
		if !m.shouldWatch() {
			sleep(ctx, m.opts.Timing.ConfirmInterval)
			continue
		}
		changes, err := m.watchOnce(ctx, cursor)
		if err != nil {
			m.opts.Log.Debug("configuration watch failed", "error", err)
			sleep(ctx, watchRetryDelay)
			continue
		}
		cursor = changes.Next
		for _, entry := range changes.Entries {
			m.loadEntry(entry, sourceWatch)
		}
	}
	return nil
}

// watchOnce waits for changes for a bounded time.
func (m *Manager) watchOnce(ctx context.Context, cursor external.Cursor) (external.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Timing.WatchTimeout)
	defer cancel()
	m.setWatching(true)
	defer m.setWatching(false)
	m.metrics.reads.WithLabelValues("watch").Inc()
	return m.opts.Store.Watch(ctx, KeyPrefix, cursor)
}

// setWatching records whether a watch is open.
func (m *Manager) setWatching(open bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watching = open
}

// shouldWatch reports whether this daemon is one of those that keep a watch open.
func (m *Manager) shouldWatch() bool {
	if m.opts.View == nil {
		return true
	}
	return isWatcher(m.opts.Host, m.opts.View.Members(), m.opts.Timing.Watchers)
}

// isWatcher reports whether fewer than the given number of other live hosts have
// a lower watchHash than the host. If the daemons' views differ, there are at
// worst a few watches more or fewer.
func isWatcher(self ident.Host, members []membership.Member, watchers int) bool {
	mine := watchHash(self)
	before := 0
	for _, member := range members {
		if member.Status != membership.Alive {
			continue
		}
		hash := watchHash(member.Host)
		if hash < mine || hash == mine && strings.Compare(string(member.Host), string(self)) < 0 {
			before++
		}
	}
	return before < watchers
}

// watchHash returns the hash by which hosts are chosen for keeping a watch; the
// lowest come first.
func watchHash(host ident.Host) uint64 { return xxhash.Sum64String("watch/" + string(host)) }
