package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// metrics holds the metrics of this package. Label values come from fixed sets or
// are route names, whose number the configuration bounds.
type metrics struct {
	requests  *prometheus.CounterVec
	inState   *prometheus.GaugeVec
	duration  *prometheus.HistogramVec
	firstPart *prometheus.HistogramVec
}

// newMetrics creates the metrics and registers them unless registerer is nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 16)
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthplank_requests_total", Help: "Ended requests by route, outcome and kind of error.",
		}, []string{"route", "outcome", "kind"}),
		inState: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "amaranthplank_requests_in_state", Help: "Requests that stand in a state at present.",
		}, []string{"state"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "amaranthplank_request_seconds", Help: "Time to the end of answered requests.", Buckets: buckets,
		}, []string{"class"}),
		firstPart: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "amaranthplank_first_part_seconds", Help: "Time to the first part of answers.", Buckets: buckets,
		}, []string{"class"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.inState, m.duration, m.firstPart)
	}
	return m
}

// stateChanged moves a request from one state's count to another's. Requests in
// final states are not counted.
func (m *metrics) stateChanged(from, to request.State) {
	m.inState.WithLabelValues(from.String()).Dec()
	if !to.Final() {
		m.inState.WithLabelValues(to.String()).Inc()
	}
}

// requestEnded counts a completed request.
func (m *metrics) requestEnded(route ident.Route, outcome request.Outcome, kind string) {
	m.requests.WithLabelValues(string(route), string(outcome), kind).Inc()
}
