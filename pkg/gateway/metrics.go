package gateway

import (
	"math"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/routing"
)

// metrics are the counters that the gateway itself increments.
type metrics struct {
	// ejections counts how often a failing target was ejected, by what it serves.
	ejections *prometheus.CounterVec
	// absences counts the absences of targets that began, by what they serve.
	absences *prometheus.CounterVec
	// notices counts what targets stated about themselves in their answers.
	notices *prometheus.CounterVec
}

// registerMetrics registers the gateway's counters and the gauges that are read from
// its components, and returns the counters.
func (g *Gateway) registerMetrics() *metrics {
	m := &metrics{ejections: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "amaranthplank_targets_left_out_total", Help: "Times that a failing target was left out for a while, by what it serves.",
	}, []string{"serves"})}
	m.absences = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "amaranthplank_targets_unreachable_total", Help: "Times that a target became unreachable, by what it serves.",
	}, []string{"serves"})
	m.notices = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "amaranthplank_target_notices_total", Help: "Times that a target stated in an answer that it leaves or wants a pause.",
	}, []string{"notice"})
	g.registry.MustRegister(m.ejections, m.absences, m.notices, capacityCollector{book: g.capacity},
		gauge("amaranthplank_view_age_seconds", "Age of what is known from the store; infinite before the first answer.", g.viewAge),
		gauge("amaranthplank_targets", "Targets that take new work.", g.countTargets),
		gauge("amaranthplank_daemons", "Daemons that are there, this one included.", func() float64 { return float64(g.presence.Daemons()) }),
		gauge("amaranthplank_links_told_ratio", "Part of the other daemons that this one is told of.", g.backlog.Coverage),
	)
	if g.opts.LinesDropped != nil {
		g.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "amaranthplank_log_lines_dropped_total", Help: "Log lines that were not written.",
		}, func() float64 { return float64(g.opts.LinesDropped()) }))
	}
	return m
}

// gauge returns a gauge whose value is read from a function.
func gauge(name, help string, read func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read)
}

// viewAge returns the age of the data read from the store, in seconds. It is
// infinite before the first read.
func (g *Gateway) viewAge() float64 {
	age, ok := g.mirror.Age()
	if !ok {
		return math.Inf(1)
	}
	return age.Seconds()
}

// countTargets counts the targets that take new work.
func (g *Gateway) countTargets() float64 {
	snapshot := g.targets.Snapshot()
	count := 0
	for i := range snapshot.Targets {
		if state := &snapshot.Targets[i]; !state.Record.Leaving && g.withheld(state) == nil {
			count++
		}
	}
	return float64(count)
}

// targetEjected counts and logs that a failing target gets no new work for a while.
func (g *Gateway) targetEjected(target ident.Target, failures int) {
	serves := g.servedBy(target)
	g.metrics.ejections.WithLabelValues(serves).Inc()
	g.opts.Log.Info("target left out", "target", target, "serves", serves, "failures", failures)
}

// servedBy returns the model or service of a target of the view.
func (g *Gateway) servedBy(target ident.Target) string {
	if state := g.targets.Snapshot().Target(target); state != nil {
		return string(state.Record.Model) + string(state.Record.Service)
	}
	return "unknown"
}

// presenceChanged counts and logs that a target gets nothing since it refuses connections
// or was replaced, or that it is back.
func (g *Gateway) presenceChanged(change routing.PresenceChange) {
	serves := g.servedBy(change.Target)
	if !change.Absent {
		g.opts.Log.Info("target reachable again", "target", change.Target, "serves", serves, "away", change.Away)
		return
	}
	g.metrics.absences.WithLabelValues(serves).Inc()
	g.opts.Log.Info("target unreachable", "target", change.Target, "serves", serves, "replaced", change.Replaced, "isolated", change.Isolated)
}
