package burn

import (
	"bytes"
	"context"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// pageState is what a process knows of its page in the store.
type pageState struct {
	version external.Version
	// written is the value that stands there.
	written []byte
}

// Checkpoint writes the pages that have changed, and drops pages of past hours
// once they are written. The counts are cumulative and the key is the process's
// own, so a write whose answer was lost can be sent again.
func (m *Manager) Checkpoint(ctx context.Context, now time.Time) {
	m.mu.Lock()
	pages := make(map[int64]Slots)
	for slot := range m.own {
		start := time.Unix(slot, 0).Truncate(pageLength)
		if pages[start.Unix()] == nil {
			pages[start.Unix()] = m.own.page(start)
		}
	}
	encoded := make(map[int64][]byte, len(pages))
	for start, page := range pages {
		value, err := encodePage(page)
		if err != nil {
			m.opts.Log.Error("burn counts not encoded", "error", err)
			continue
		}
		encoded[start] = value
	}
	m.mu.Unlock()
	for start, value := range encoded {
		if err := m.write(ctx, start, value); err != nil {
			m.metrics.failed.Inc()
			m.opts.Log.Warn("burn counts not checkpointed", "error", err)
			continue
		}
		m.release(start, now)
	}
	m.prune(ctx, now)
}

// write brings one page into the store.
func (m *Manager) write(ctx context.Context, start int64, value []byte) error {
	state := m.versions[start]
	if bytes.Equal(state.written, value) {
		return nil
	}
	key := pageKey(time.Unix(start, 0), m.opts.Host, m.opts.Incarnation)
	version, err := m.opts.Store.CompareAndSwap(ctx, external.Swap{Key: key, Base: state.version, Value: value})
	if err != nil {
		m.reread(ctx, start, key)
		return err
	}
	m.versions[start] = pageState{version: version, written: value}
	return nil
}

// reread learns where the page stands after a write of unknown outcome.
func (m *Manager) reread(ctx context.Context, start int64, key external.Key) {
	entry, err := m.opts.Store.Get(ctx, key)
	switch {
	case err == nil:
		m.versions[start] = pageState{version: entry.Version, written: entry.Value}
	case errors.Is(err, external.ErrKeyNotFound):
		delete(m.versions, start)
	}
}

// release drops a page that lies in the past and stands in the store as it is
// here. What is recorded later with an older time counts at the floor, since
// the page can't be begun anew.
func (m *Manager) release(start int64, now time.Time) {
	if now.Sub(time.Unix(start, 0)) < 2*pageLength {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	page := m.own.page(time.Unix(start, 0))
	value, err := encodePage(page)
	if err != nil || !bytes.Equal(value, m.versions[start].written) {
		return
	}
	for slot := range page {
		delete(m.own, slot)
	}
	delete(m.versions, start)
	m.floor = max(m.floor, start+int64(pageLength/time.Second))
}

// prune deletes the pages that no window reaches any more.
func (m *Manager) prune(ctx context.Context, now time.Time) {
	if now.Sub(now.Truncate(pageLength)) > m.opts.Every {
		return
	}
	old := now.Truncate(pageLength).Add(-keepPages * pageLength)
	entries, err := m.opts.Store.List(ctx, pagePrefix(old))
	if err != nil {
		return
	}
	for _, entry := range entries {
		// Another daemon may have deleted it first.
		_ = m.opts.Store.Delete(ctx, entry.Key, entry.Version)
	}
}

// Report merges the checkpoints of all processes with the newest counts of
// this one.
func (m *Manager) Report(ctx context.Context, now time.Time) (Report, error) {
	entries, err := m.opts.Store.List(ctx, keyPrefix)
	if err != nil {
		return Report{}, err
	}
	slots := make(Slots)
	missing := 0
	m.mu.Lock()
	slots.Merge(m.own)
	mine := make(map[external.Key]bool)
	for slot := range m.own {
		mine[pageKey(time.Unix(slot, 0).Truncate(pageLength), m.opts.Host, m.opts.Incarnation)] = true
	}
	m.mu.Unlock()
	for _, entry := range entries {
		if mine[entry.Key] {
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
