package burn

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics are the counts of a Manager. Their labels don't grow with the
// workspaces, routes or models; the report holds those.
type metrics struct {
	requests *prometheus.CounterVec
	failed   prometheus.Counter
}

// newMetrics registers the counts.
func newMetrics(registerer prometheus.Registerer) *metrics {
	f := promauto.With(registerer)
	return &metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthplank_objective_requests_total", Help: "Requests by objective and whether they kept it.",
		}, []string{"objective", "kept"}),
		failed: f.NewCounter(prometheus.CounterOpts{
			Name: "amaranthplank_burn_checkpoints_failed_total", Help: "Checkpoints of the burn counts that were not written.",
		}),
	}
}

// count adds one request's counts.
func (m *metrics) count(counts *Counts) {
	for o := range objectives {
		tally := counts[o]
		m.requests.WithLabelValues(o.String(), "yes").Add(float64(tally.Total - tally.Bad))
		m.requests.WithLabelValues(o.String(), "no").Add(float64(tally.Bad))
	}
}
