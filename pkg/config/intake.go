package config

import (
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// origin says what brought a revision.
type origin string

// The origins.
const (
	fromWatch origin = "watch"
	fromRead  origin = "read"
	fromPeer  origin = "peer"
	fromApply origin = "apply"
)

// takeEntry takes an entry of the store in.
func (m *Manager) takeEntry(entry external.Entry, from origin) {
	part, ok := partOf(entry.Key)
	if !ok || entry.Deleted {
		return
	}
	m.take(part, ident.Revision(entry.Version), entry.Value, from)
}

// take loads a part where it is newer than the one in force and well-formed.
// An older or malformed one changes nothing, so that a revision never falls and
// the last good one is kept.
func (m *Manager) take(part Part, revision ident.Revision, value []byte, from origin) {
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if from != fromPeer {
		m.seen = m.seen.raise(part.revisions(revision))
	}
	if revision <= part.of(m.Revisions().raise(m.rejected)) {
		return
	}
	if err := m.load(part, revision, value); err != nil {
		m.rejected = m.rejected.raise(part.revisions(revision))
		m.metrics.rejected.Inc()
		m.opts.Log.Error("a malformed revision is not loaded", "part", part, "revision", revision, "error", err)
		return
	}
	m.values[part] = value
	m.metrics.revision.WithLabelValues(part.String()).Set(float64(revision))
	m.metrics.loads.WithLabelValues(string(from)).Inc()
	m.opts.Log.Info("revision in force", "part", part, "revision", revision, "source", from)
	m.evaluate(now)
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// load parses a part and puts it in force.
func (m *Manager) load(part Part, revision ident.Revision, value []byte) error {
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

// known returns the newest revisions that need not be fetched, malformed ones
// included.
func (m *Manager) known() Revisions {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Revisions().raise(m.rejected)
}

// value returns a loaded part as it stands in the store, with its revision.
func (m *Manager) value(part Part) (ident.Revision, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return part.of(m.Revisions()), m.values[part]
}

// Text returns the configuration in force as it was written, and its revision.
func (m *Manager) Text() (ident.Revision, []byte) { return m.value(PartConfig) }
