package config

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// confirmJitter is the relative jitter of the interval between reads of the
// store, which spreads the daemons' reads over time.
const confirmJitter = 0.3

// runConfirm reevaluates the freshness on every tick and reads the store when a
// read is due.
func (m *Manager) runConfirm(ctx context.Context) error {
	ticker := time.NewTicker(m.opts.Timing.EvaluateInterval)
	defer ticker.Stop()
	next := m.opts.Clock.Now()
	for ctx.Err() == nil {
		if m.opts.Clock.Now() >= next || m.markerPending() {
			m.confirm(ctx)
			next = m.opts.Clock.Now() + m.nextConfirmDelay()
		}
		if !m.hasPeerMajority(m.reevaluate()) {
			next = min(next, m.opts.Clock.Now()+m.opts.Timing.ConfirmInterval)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return nil
}

// nextConfirmDelay returns the jittered delay until the next read of the store.
func (m *Manager) nextConfirmDelay() time.Duration {
	mean := m.opts.Timing.ConfirmInterval
	if m.hasPeerMajority(m.Freshness()) {
		mean = m.opts.Timing.SlowConfirmInterval
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	factor := 1 - confirmJitter + 2*confirmJitter*m.opts.Random.Float64()
	return time.Duration(factor * float64(mean))
}

// hasPeerMajority reports whether the reports of a majority of the hosts stay
// valid for longer than ConfirmInterval, so that the store may be read at
// SlowConfirmInterval.
func (m *Manager) hasPeerMajority(freshness Freshness) bool {
	return freshness.PeersUntil-m.opts.Clock.Now() > m.opts.Timing.ConfirmInterval
}

// confirm reads the marker and the parts of which it names a revision that this
// daemon has not received yet. If all revisions that the marker names have then
// been received, the control state is confirmed as of the time at which the read
// of the marker was sent.
func (m *Manager) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Timing.CallTimeout)
	defer cancel()
	sent := m.opts.Clock.Now()
	m.metrics.reads.WithLabelValues("marker").Inc()
	marker, _, err := readMarker(ctx, m.opts.Store)
	if err != nil {
		m.opts.Log.Debug("reading the configuration marker failed", "error", err)
		return
	}
	read := true
	for _, part := range parts {
		read = m.confirmPart(ctx, part, marker) && read
	}
	m.mu.Lock()
	covers := m.newestInStore.merge(m.Revisions()).Covers(marker)
	if read && covers && m.Current() != nil && sent >= m.confirmed {
		m.confirmed, m.hasConfirmed = sent, true
	}
	m.mu.Unlock()
	m.repairMarker(ctx, marker)
}

// confirmPart reads a part from the store if the marker names a newer revision
// or, until the first confirmation, if the part has not been received from the
// store yet. It reports whether the store's revision of the part is known.
func (m *Manager) confirmPart(ctx context.Context, part Part, marker Revisions) bool {
	m.mu.Lock()
	have := part.revisionIn(m.newestInStore.merge(m.Revisions()))
	unread := part.revisionIn(m.newestInStore) == 0 && !m.hasConfirmed
	watching := m.watching
	m.mu.Unlock()
	newer := part.revisionIn(marker) > have
	if !newer && !unread {
		return true
	}
	if newer && watching && have != 0 {
		m.metrics.watchMissed.Inc()
	}
	m.metrics.reads.WithLabelValues(part.String()).Inc()
	entry, err := m.opts.Store.Get(ctx, part.key())
	if errors.Is(err, external.ErrKeyNotFound) {
		return !newer
	}
	if err != nil {
		m.opts.Log.Debug("reading control state from the store failed", "part", part, "error", err)
		return false
	}
	m.loadEntry(entry, sourceRead)
	return true
}

// repairMarker advances the marker if a writer stopped after writing a change
// and before advancing the marker, or if requestMarker requested it.
func (m *Manager) repairMarker(ctx context.Context, marker Revisions) {
	m.mu.Lock()
	to := m.newestInStore.merge(m.markerRequested)
	m.mu.Unlock()
	if !marker.Covers(to) {
		if err := advanceMarker(ctx, m.opts.Store, to); err != nil {
			m.opts.Log.Debug("advancing the configuration marker failed", "error", err)
			return
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.marker = m.marker.merge(to)
}

// requestMarker reports whether the marker is known to cover the revisions.
// Otherwise runConfirm advances it at its next tick. The revisions must already
// be written.
func (m *Manager) requestMarker(revisions Revisions) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.markerRequested = m.markerRequested.merge(revisions)
	return m.marker.Covers(revisions)
}

// markerPending reports whether a requested advance of the marker is outstanding.
func (m *Manager) markerPending() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.marker.Covers(m.markerRequested)
}
