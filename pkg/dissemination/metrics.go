package dissemination

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics holds the metrics of a Manager.
type metrics struct {
	origins prometheus.Gauge
	gaps    prometheus.Gauge
	dropped prometheus.Counter
}

// newMetrics registers the metrics.
func newMetrics(registerer prometheus.Registerer) *metrics {
	f := promauto.With(registerer)
	return &metrics{
		origins: f.NewGauge(prometheus.GaugeOpts{Name: "amaranthplank_dissemination_origins", Help: "Origins whose items are held."}),
		gaps:    f.NewGauge(prometheus.GaugeOpts{Name: "amaranthplank_dissemination_gaps", Help: "Times that a bundle was found missing."}),
		dropped: f.NewCounter(prometheus.CounterOpts{Name: "amaranthplank_dissemination_dropped_total", Help: "Frames dropped since the manager was behind."}),
	}
}
