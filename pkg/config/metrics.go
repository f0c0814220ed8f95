package config

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of a Manager.
type metrics struct {
	revision    *prometheus.GaugeVec
	loads       *prometheus.CounterVec
	rejected    prometheus.Counter
	reads       *prometheus.CounterVec
	watchMissed prometheus.Counter
	fresh       prometheus.Gauge
	peerBytes   prometheus.Counter
}

// newMetrics creates and registers the metrics.
func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		revision: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "amaranthplank_config_revision", Help: "Revision that is loaded, by part.",
		}, []string{"part"}),
		loads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthplank_config_loads_total", Help: "Revisions that were loaded, by what brought them.",
		}, []string{"source"}),
		rejected: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "amaranthplank_config_rejected_total", Help: "Revisions that were malformed and were not loaded.",
		}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthplank_config_store_reads_total", Help: "Reads of the control state from the store, by call.",
		}, []string{"call"}),
		watchMissed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "amaranthplank_config_watch_missed_total", Help: "Revisions that a read found while a watch was open that should have brought them.",
		}),
		fresh: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "amaranthplank_config_fresh", Help: "Whether the control state is fresh enough to serve on (1) or not (0).",
		}),
		peerBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "amaranthplank_config_peer_bytes_total", Help: "Bytes of control state that were sent to peers.",
		}),
	}
	registerer.MustRegister(m.revision, m.loads, m.rejected, m.reads, m.watchMissed, m.fresh, m.peerBytes)
	return m
}
