package burn

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics are the metrics of a Manager. To bound their cardinality, they have no
// labels for workspaces, routes or models; the report breaks the counts down by
// workspace and route.
type metrics struct {
	requests          *prometheus.CounterVec
	failedCheckpoints prometheus.Counter
}

// newMetrics creates and registers the metrics.
func newMetrics(registerer prometheus.Registerer) *metrics {
	f := promauto.With(registerer)
	return &metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthplank_objective_requests_total", Help: "Requests by objective and whether they kept it.",
		}, []string{"objective", "kept"}),
		failedCheckpoints: f.NewCounter(prometheus.CounterOpts{
			Name: "amaranthplank_burn_checkpoints_failed_total", Help: "Checkpoints of the burn counts that were not written.",
		}),
	}
}

// count adds one request's counts.
func (m *metrics) count(counts *Counts) {
	for o := range objectiveCount {
		tally := counts[o]
		m.requests.WithLabelValues(o.String(), "yes").Add(float64(tally.Total - tally.Bad))
		m.requests.WithLabelValues(o.String(), "no").Add(float64(tally.Bad))
	}
}
