package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// metrics are the entry's. Their labels take values of fixed sets, or names of
// routes, which the configuration bounds.
type metrics struct {
	requests *prometheus.CounterVec
	states   *prometheus.GaugeVec
	seconds  *prometheus.HistogramVec
	first    *prometheus.HistogramVec
}

// newMetrics returns registered metrics.
func newMetrics(registerer prometheus.Registerer) *metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 16)
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthplank_requests_total", Help: "Ended requests by route, outcome and kind of error.",
		}, []string{"route", "outcome", "kind"}),
		states: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "amaranthplank_requests_in_state", Help: "Requests that stand in a state at present.",
		}, []string{"state"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "amaranthplank_request_seconds", Help: "Time to the end of answered requests.", Buckets: buckets,
		}, []string{"class"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "amaranthplank_first_part_seconds", Help: "Time to the first part of answers.", Buckets: buckets,
		}, []string{"class"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.states, m.seconds, m.first)
	}
	return m
}

// moved counts a request from one state to another. Final states hold nobody.
func (m *metrics) moved(from, to request.State) {
	m.states.WithLabelValues(from.String()).Dec()
	if !to.Final() {
		m.states.WithLabelValues(to.String()).Inc()
	}
}

// ended counts one ended request.
func (m *metrics) ended(route ident.Route, outcome request.Outcome, kind string) {
	m.requests.WithLabelValues(string(route), string(outcome), kind).Inc()
}
