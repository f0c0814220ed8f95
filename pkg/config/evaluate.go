package config

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
)

// reportSeries is an unbroken series of reports from one incarnation of a peer.
type reportSeries struct {
	incarnation ident.Incarnation
	since       time.Duration
	last        time.Duration
}

// reevaluate evaluates the freshness as of now.
func (m *Manager) reevaluate() Freshness {
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evaluate(now)
}

// evaluate evaluates the freshness and publishes the result. The caller holds mu.
func (m *Manager) evaluate(now time.Duration) Freshness {
	input := m.freshnessInput(now)
	behind := IsBehind(now, &input, m.opts.Timing)
	if behind && !m.isBehind {
		m.behindSince = now
	}
	m.isBehind = behind
	input.Behind, input.BehindSince = m.isBehind, m.behindSince
	freshness := EvaluateFreshness(now, &input, m.opts.Timing)
	if freshness.Basis != BasisNone {
		m.wasFresh.Store(true)
	}
	m.metrics.fresh.Set(boolGauge(freshness.Basis != BasisNone))
	m.freshness.Store(&freshness)
	return freshness
}

// freshnessInput collects the input for the evaluation. The caller holds mu.
func (m *Manager) freshnessInput(now time.Duration) FreshnessInput {
	input := FreshnessInput{
		Self: m.opts.Host, Own: m.Revisions(), Started: m.started, WasFresh: m.wasFresh.Load(),
		Confirmed: m.confirmed, HasConfirmed: m.hasConfirmed,
	}
	if holds := m.Holds(); holds != nil {
		input.Roster = holds.Holds.Roster
	}
	input.Reports = m.peerReports(now)
	return input
}

// peerReports returns the peers' latest reports. After a pause of this process
// every series starts over, since the reports that are read first may have been
// buffered during the pause. The caller holds mu.
func (m *Manager) peerReports(now time.Duration) []PeerReport {
	paused := now-m.evaluatedAt > m.opts.Timing.PeersMaxAge
	m.evaluatedAt = max(now, m.evaluatedAt)
	if paused {
		clear(m.series)
	}
	if m.opts.View == nil {
		return nil
	}
	members := m.opts.View.Members()
	wall := time.Now()
	reports := make([]PeerReport, 0, len(members))
	for i := range members {
		member := &members[i]
		if member.Status == membership.Dead || member.Status == membership.Left {
			delete(m.series, member.Host)
			continue
		}
		reports = append(reports, m.peerReport(member, now, now-wall.Sub(member.LastSeenAt), paused))
	}
	return reports
}

// peerReport extends the report series of one peer and returns its latest
// report. The caller holds mu.
func (m *Manager) peerReport(member *membership.Member, now, at time.Duration, paused bool) PeerReport {
	series, ok := m.series[member.Host]
	broken := !ok || series.incarnation != member.Incarnation || at-series.last > m.opts.Timing.PeersMaxAge
	if broken {
		series = reportSeries{incarnation: member.Incarnation, since: at}
	}
	if paused {
		series.since = now
	}
	series.last = max(series.last, at)
	m.series[member.Host] = series
	return PeerReport{
		HostRevisions: HostRevisions{Host: member.Host, Revisions: Revisions{Config: member.Revision, Holds: member.HoldsRevision}},
		At:            at, Since: series.since,
	}
}

// boolGauge converts a bool to a gauge value.
func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
