package lease

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the manager's Prometheus collectors.
type metrics struct {
	held         prometheus.Gauge
	acquisitions prometheus.Counter
	losses       prometheus.Counter
	renewals     *prometheus.CounterVec
}

// newMetrics returns the collectors and registers them unless registerer is nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		held: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "amaranthplank_lease_duties_held", Help: "Duties that this process holds.",
		}),
		acquisitions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "amaranthplank_lease_acquisitions_total", Help: "Duties taken.",
		}),
		losses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "amaranthplank_lease_losses_total", Help: "Duties lost without a planned stop.",
		}),
		renewals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthplank_lease_renewals_total", Help: "Renewals of the process's lease by result.",
		}, []string{"result"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.held, m.acquisitions, m.losses, m.renewals)
	}
	return m
}
