package config

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
)

// run is an unbroken run of statements of one peer.
type run struct {
	incarnation ident.Incarnation
	since       time.Duration
	last        time.Duration
}

// reevaluate decides on the freshness anew.
func (m *Manager) reevaluate() Verdict {
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evaluate(now)
}

// evaluate decides on the freshness. The caller holds mu.
func (m *Manager) evaluate(now time.Duration) Verdict {
	facts := m.facts(now)
	behind := Behind(now, &facts, m.opts.Timing)
	if behind && !m.behind {
		m.behindSince = now
	}
	m.behind = behind
	facts.Behind, facts.BehindSince = m.behind, m.behindSince
	verdict := Decide(now, &facts, m.opts.Timing)
	if verdict.Basis != BasisNone {
		m.loaded.Store(true)
	}
	m.metrics.serving.Set(boolGauge(verdict.Basis != BasisNone))
	m.verdict.Store(&verdict)
	return verdict
}

// facts gathers what is known at present. The caller holds mu.
func (m *Manager) facts(now time.Duration) Facts {
	facts := Facts{
		Self: m.opts.Host, Own: m.Revisions(), Started: m.started, Loaded: m.loaded.Load(),
		Confirmed: m.confirmed, HasConfirmed: m.hasConfirmed,
	}
	if holds := m.Holds(); holds != nil {
		facts.Roster = holds.Holds.Roster
	}
	facts.Statements = m.statements(now)
	return facts
}

// statements returns what is heard of the peers. After a pause of this process
// every run of statements begins anew, since what is read first may have waited
// in a buffer. The caller holds mu.
func (m *Manager) statements(now time.Duration) []Statement {
	paused := now-m.evaluatedAt > m.opts.Timing.PeersMaxAge
	m.evaluatedAt = max(now, m.evaluatedAt)
	if paused {
		clear(m.runs)
	}
	if m.opts.View == nil {
		return nil
	}
	members := m.opts.View.Members()
	wall := time.Now()
	statements := make([]Statement, 0, len(members))
	for i := range members {
		member := &members[i]
		if member.Status == membership.Dead || member.Status == membership.Left {
			delete(m.runs, member.Host)
			continue
		}
		statements = append(statements, m.statement(member, now, now-wall.Sub(member.HeardAt), paused))
	}
	return statements
}

// statement extends the run of one peer. The caller holds mu.
func (m *Manager) statement(member *membership.Member, now, at time.Duration, paused bool) Statement {
	known, ok := m.runs[member.Host]
	broken := !ok || known.incarnation != member.Incarnation || at-known.last > m.opts.Timing.PeersMaxAge
	if broken {
		known = run{incarnation: member.Incarnation, since: at}
	}
	if paused {
		known.since = now
	}
	known.last = max(known.last, at)
	m.runs[member.Host] = known
	return Statement{
		Loaded: Loaded{Host: member.Host, Revisions: Revisions{Config: member.Revision, Holds: member.HoldsRevision}},
		At:     at, Since: known.since,
	}
}

// boolGauge returns one for true.
func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
