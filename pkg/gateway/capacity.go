package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/capacity"
)

// slownessDesc describes the gauge of how far targets differ in speed.
var slownessDesc = prometheus.NewDesc("amaranthplank_target_slowness_ratio",
	"Time of calls at the fastest and the slowest target in relation to the median.", []string{"serves", "target"}, nil)

// capacityCollector reads the gauge of how far targets differ in speed.
type capacityCollector struct{ book *capacity.Book }

// Describe sends the gauge's description.
func (c capacityCollector) Describe(descs chan<- *prometheus.Desc) { descs <- slownessDesc }

// Collect sends the gauge's values. Of several software versions the widest spread counts.
func (c capacityCollector) Collect(metrics chan<- prometheus.Metric) {
	widest := make(map[string]capacity.Spread)
	for _, spread := range c.book.Spreads(time.Now()) {
		if known, ok := widest[spread.Serves]; ok {
			spread.Fastest, spread.Slowest = min(spread.Fastest, known.Fastest), max(spread.Slowest, known.Slowest)
		}
		widest[spread.Serves] = spread
	}
	for serves, spread := range widest {
		metrics <- prometheus.MustNewConstMetric(slownessDesc, prometheus.GaugeValue, spread.Fastest, serves, "fastest")
		metrics <- prometheus.MustNewConstMetric(slownessDesc, prometheus.GaugeValue, spread.Slowest, serves, "slowest")
	}
}

// capacityLogInterval is the least time between two log lines on changed capacities.
const capacityLogInterval = 250 * time.Millisecond

// capacityChanged logs a lasting change of a target's speed, unless another one was logged
// within capacityLogInterval.
func (g *Gateway) capacityChanged(change capacity.Change) {
	if !g.capacityLog.Allow() {
		return
	}
	g.opts.Log.Info("target speed changed", "target", change.Ref.Target, "serves", change.Ref.Group.Serves,
		"slownessBefore", change.Before, "slowness", change.After)
}
