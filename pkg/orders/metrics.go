package orders

import "github.com/prometheus/client_golang/prometheus"

// metrics are the Prometheus metrics of orders to engines.
type metrics struct {
	steps *prometheus.CounterVec
	open  prometheus.Gauge
}

// newMetrics returns the metrics and registers them if registerer is not nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		steps: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthplank_orders_steps_total", Help: "Steps taken for orders to engines.",
		}, []string{"step"}),
		open: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "amaranthplank_orders_open", Help: "Orders to engines that are being carried out.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.steps, m.open)
	}
	return m
}
