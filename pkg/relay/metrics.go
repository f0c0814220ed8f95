package relay

import (
	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/retry"
)

// metrics are the relay's metrics. All label values come from fixed sets.
type metrics struct {
	failures  *prometheus.CounterVec
	malformed *prometheus.CounterVec
	events    prometheus.Counter
	cancels   *prometheus.CounterVec
	moves     prometheus.Counter
	silences  *prometheus.CounterVec
	retries   *prometheus.CounterVec
}

// newMetrics returns the metrics, registered unless registerer is nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthplank_relay_failures_total",
			Help: "Failed exchanges by phase, failure and what was decided.",
		}, []string{"phase", "failure", "decision"}),
		malformed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthplank_malformed_responses_total", Help: "Malformed responses of targets, by the part that is malformed.",
		}, []string{"reason"}),
		events: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "amaranthplank_relay_events_total", Help: "Stream events handed to callers.",
		}),
		cancels: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthplank_relay_cancels_total", Help: "Attempts cancelled at engines, by result.",
		}, []string{"result"}),
		moves: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "amaranthplank_relay_moves_total", Help: "Streams that another engine took over.",
		}),
		silences: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthplank_relay_silences_total",
			Help: "Silence timeouts of exchanges that could be sent elsewhere, by what was decided.",
		}, []string{"decision"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthplank_retries_total", Help: "Retries asked of a retry budget, by the budget and whether it granted them.",
		}, []string{"budget", "result"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.failures, m.malformed, m.events, m.cancels, m.moves, m.silences, m.retries)
	}
	return m
}

// exchangeFailed counts one failed exchange.
func (m *metrics) exchangeFailed(phase retry.Phase, failure retry.Failure, decision retry.Decision) {
	m.failures.WithLabelValues(phase.String(), failure.String(), decision.String()).Inc()
}

// silenceDecided counts one silence timeout.
func (m *metrics) silenceDecided(sendElsewhere bool) {
	decision := "wait"
	if sendElsewhere {
		decision = "send_elsewhere"
	}
	m.silences.WithLabelValues(decision).Inc()
}
