package config

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// confirmSpread is the share by which the time between reads is drawn around
// its mean, so that the daemons' reads spread out.
const confirmSpread = 0.3

// runConfirm looks at the freshness on every tick and reads the store when it
// is due.
func (m *Manager) runConfirm(ctx context.Context) error {
	ticker := time.NewTicker(m.opts.Timing.Tick)
	defer ticker.Stop()
	next := m.opts.Clock.Now()
	for ctx.Err() == nil {
		if m.opts.Clock.Now() >= next || m.markerDue() {
			m.confirm(ctx)
			next = m.opts.Clock.Now() + m.confirmPause()
		}
		if !m.inTouch(m.reevaluate()) {
			next = min(next, m.opts.Clock.Now()+m.opts.Timing.ConfirmEvery)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return nil
}

// confirmPause draws the time to the next read.
func (m *Manager) confirmPause() time.Duration {
	mean := m.opts.Timing.ConfirmEvery
	if m.inTouch(m.Verdict()) {
		mean = m.opts.Timing.ConfirmSlow
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	factor := 1 - confirmSpread + 2*confirmSpread*m.opts.Random.Float64()
	return time.Duration(factor * float64(mean))
}

// inTouch reports whether a majority of the hosts is heard from for long enough
// that the store may be read at the slow pace.
func (m *Manager) inTouch(verdict Verdict) bool {
	return verdict.PeersUntil-m.opts.Clock.Now() > m.opts.Timing.ConfirmEvery
}

// confirm reads the marker, and the parts that it shows to be newer than the
// loaded ones.
func (m *Manager) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Timing.CallTimeout)
	defer cancel()
	sent := m.opts.Clock.Now()
	m.metrics.reads.WithLabelValues("marker").Inc()
	marker, _, err := readMarker(ctx, m.opts.Store)
	if err != nil {
		m.opts.Log.Debug("the store did not confirm the configuration", "error", err)
		return
	}
	read := true
	for _, part := range parts {
		read = m.confirmPart(ctx, part, marker) && read
	}
	m.mu.Lock()
	covers := m.seen.raise(m.Revisions()).Covers(marker)
	if read && covers && m.Current() != nil && sent >= m.confirmed {
		m.confirmed, m.hasConfirmed = sent, true
	}
	m.mu.Unlock()
	m.repairMarker(ctx, marker)
}

// confirmPart reads a part where the marker names a newer one, or where the
// process has read none yet. It reports whether what the store holds is known.
func (m *Manager) confirmPart(ctx context.Context, part Part, marker Revisions) bool {
	m.mu.Lock()
	have := part.of(m.seen.raise(m.Revisions()))
	unread := part.of(m.seen) == 0 && !m.hasConfirmed
	watching := m.watching
	m.mu.Unlock()
	newer := part.of(marker) > have
	if !newer && !unread {
		return true
	}
	if newer && watching && have != 0 {
		m.metrics.skipped.Inc()
	}
	m.metrics.reads.WithLabelValues(part.String()).Inc()
	entry, err := m.opts.Store.Get(ctx, part.key())
	if errors.Is(err, external.ErrKeyNotFound) {
		return !newer
	}
	if err != nil {
		m.opts.Log.Debug("a part was not read", "part", part, "error", err)
		return false
	}
	m.takeEntry(entry, fromRead)
	return true
}

// repairMarker raises the marker where its writer ended between the change and
// the marker, or waits for it.
func (m *Manager) repairMarker(ctx context.Context, marker Revisions) {
	m.mu.Lock()
	to := m.seen.raise(m.wanted)
	m.mu.Unlock()
	if !marker.Covers(to) {
		if err := raiseMarker(ctx, m.opts.Store, to); err != nil {
			m.opts.Log.Debug("the marker was not raised", "error", err)
			return
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.marker = m.marker.raise(to)
}

// marked reports whether the marker is known to name the revisions, and has it
// raised otherwise. The revisions must have been written.
func (m *Manager) marked(revisions Revisions) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wanted = m.wanted.raise(revisions)
	return m.marker.Covers(revisions)
}

// markerDue reports whether a writer waits for the marker.
func (m *Manager) markerDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.marker.Covers(m.wanted)
}
