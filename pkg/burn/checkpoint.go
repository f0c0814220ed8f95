package burn

import (
	"bytes"
	"context"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// storedPage is the last known state of one of the process's pages in the store.
type storedPage struct {
	version external.Version
	value   []byte
}

// Checkpoint writes the pages that have changed, and evicts past pages from
// memory once they are written. The counts are cumulative and only this process
// writes the key, so a write whose response was lost can be repeated.
func (m *Manager) Checkpoint(ctx context.Context, now time.Time) {
	m.mu.Lock()
	pages := make(map[int64]Slots)
	for slot := range m.local {
		start := time.Unix(slot, 0).Truncate(pageLength)
		if pages[start.Unix()] == nil {
			pages[start.Unix()] = m.local.pageSlots(start)
		}
	}
	encoded := make(map[int64][]byte, len(pages))
	for start, page := range pages {
		value, err := encodePage(page)
		if err != nil {
			m.opts.Log.Error("failed to encode burn counts", "error", err)
			continue
		}
		encoded[start] = value
	}
	m.mu.Unlock()
	for start, value := range encoded {
		if err := m.writePage(ctx, start, value); err != nil {
			m.metrics.failedCheckpoints.Inc()
			m.opts.Log.Warn("failed to checkpoint burn counts", "error", err)
			continue
		}
		m.evict(start, now)
	}
	m.prune(ctx, now)
}

// writePage writes one page to the store unless it is unchanged.
func (m *Manager) writePage(ctx context.Context, start int64, value []byte) error {
	state := m.storedPages[start]
	if bytes.Equal(state.value, value) {
		return nil
	}
	key := pageKey(time.Unix(start, 0), m.opts.Host, m.opts.Incarnation)
	version, err := m.opts.Store.CompareAndSwap(ctx, external.Swap{Key: key, Base: state.version, Value: value})
	if err != nil {
		m.refreshStored(ctx, start, key)
		return err
	}
	m.storedPages[start] = storedPage{version: version, value: value}
	return nil
}

// refreshStored reads a page's state from the store after a failed write, which
// may have taken effect.
func (m *Manager) refreshStored(ctx context.Context, start int64, key external.Key) {
	entry, err := m.opts.Store.Get(ctx, key)
	switch {
	case err == nil:
		m.storedPages[start] = storedPage{version: entry.Version, value: entry.Value}
	case errors.Is(err, external.ErrKeyNotFound):
		delete(m.storedPages, start)
	}
}

// evict drops a past page from memory if the store holds the same counts. Events
// recorded later with an older time are counted in the oldest open page, since
// a new page would replace the stored counts.
func (m *Manager) evict(start int64, now time.Time) {
	if now.Sub(time.Unix(start, 0)) < 2*pageLength {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	page := m.local.pageSlots(time.Unix(start, 0))
	value, err := encodePage(page)
	if err != nil || !bytes.Equal(value, m.storedPages[start].value) {
		return
	}
	for slot := range page {
		delete(m.local, slot)
	}
	delete(m.storedPages, start)
	m.oldestOpenPage = max(m.oldestOpenPage, start+int64(pageLength/time.Second))
}

// prune deletes the pages that have just become older than every window. It does
// so only within the first checkpoint interval of an hour.
func (m *Manager) prune(ctx context.Context, now time.Time) {
	if now.Sub(now.Truncate(pageLength)) > m.opts.CheckpointInterval {
		return
	}
	old := now.Truncate(pageLength).Add(-retainedPages * pageLength)
	entries, err := m.opts.Store.List(ctx, pagePrefix(old))
	if err != nil {
		return
	}
	for _, entry := range entries {
		// Another daemon may have deleted it first.
		_ = m.opts.Store.Delete(ctx, entry.Key, entry.Version)
	}
}

// Report merges the stored counts of all processes with the current counts of
// this one.
func (m *Manager) Report(ctx context.Context, now time.Time) (Report, error) {
	entries, err := m.opts.Store.List(ctx, keyPrefix)
	if err != nil {
		return Report{}, err
	}
	slots := make(Slots)
	missing := 0
	m.mu.Lock()
	slots.Merge(m.local)
	ownKeys := make(map[external.Key]bool)
	for slot := range m.local {
		ownKeys[pageKey(time.Unix(slot, 0).Truncate(pageLength), m.opts.Host, m.opts.Incarnation)] = true
	}
	m.mu.Unlock()
	for _, entry := range entries {
		if ownKeys[entry.Key] {
			continue
		}
		page, err := decodePage(entry.Value)
		if err != nil {
			missing++
			continue
		}
		slots.Merge(page)
	}
	report := NewReport(now, slots, m.knobs)
	report.Missing = missing
	return report, nil
}
