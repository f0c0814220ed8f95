package config

import (
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// revisionSource states how a revision reached the daemon. It is the value of the
// metrics' source label.
type revisionSource string

// Sources of revisions.
const (
	sourceWatch revisionSource = "watch"
	sourceRead  revisionSource = "read"
	sourcePeer  revisionSource = "peer"
	sourceApply revisionSource = "apply"
)

// loadEntry loads an entry read from the store, if it holds a part.
func (m *Manager) loadEntry(entry external.Entry, from revisionSource) {
	part, ok := partForKey(entry.Key)
	if !ok || entry.Deleted {
		return
	}
	m.loadIfNewer(part, ident.Revision(entry.Version), entry.Value, from)
}

// loadIfNewer puts a revision of a part into effect if it is newer than the
// loaded one and well-formed. An older or malformed one changes nothing, so that
// revisions never go back and the last valid one is kept.
func (m *Manager) loadIfNewer(part Part, revision ident.Revision, value []byte, from revisionSource) {
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if from != sourcePeer {
		m.newestInStore = m.newestInStore.merge(part.asRevisions(revision))
	}
	if revision <= part.revisionIn(m.Revisions().merge(m.rejected)) {
		return
	}
	if err := m.install(part, revision, value); err != nil {
		m.rejected = m.rejected.merge(part.asRevisions(revision))
		m.metrics.rejected.Inc()
		m.opts.Log.Error("malformed revision rejected", "part", part, "revision", revision, "error", err)
		return
	}
	m.values[part] = value
	m.metrics.revision.WithLabelValues(part.String()).Set(float64(revision))
	m.metrics.loads.WithLabelValues(string(from)).Inc()
	m.opts.Log.Info("revision loaded", "part", part, "revision", revision, "source", from)
	m.evaluate(now)
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// install parses a part and makes it the current one.
func (m *Manager) install(part Part, revision ident.Revision, value []byte) error {
	if part == PartHolds {
		holds, err := ParseHolds(value)
		if err != nil {
			return err
		}
		m.holds.Store(newHoldsSnapshot(revision, holds))
		return nil
	}
	document, err := Parse(value)
	if err != nil {
		return err
	}
	m.current.Store(NewSnapshot(revision, document))
	return nil
}

// knownRevisions returns the newest revisions that need not be fetched, including
// rejected ones.
func (m *Manager) knownRevisions() Revisions {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Revisions().merge(m.rejected)
}

// loadedValue returns a loaded part as encoded in the store, and its revision.
func (m *Manager) loadedValue(part Part) (ident.Revision, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return part.revisionIn(m.Revisions()), m.values[part]
}

// Text returns the current configuration as it was written, and its revision.
func (m *Manager) Text() (ident.Revision, []byte) { return m.loadedValue(PartConfig) }
