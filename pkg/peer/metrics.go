package peer

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics are the metrics of a Manager.
type metrics struct {
	links    prometheus.Gauge
	dials    *prometheus.CounterVec
	sent     *prometheus.CounterVec
	received *prometheus.CounterVec
	dropped  *prometheus.CounterVec
	skipped  prometheus.Counter
	ended    *prometheus.CounterVec
}

// newMetrics registers the metrics.
func newMetrics(registerer prometheus.Registerer) *metrics {
	f := promauto.With(registerer)
	name := func(n string) string { return "amaranthplank_peer_" + n }
	byKind := []string{"kind"}
	return &metrics{
		links:    f.NewGauge(prometheus.GaugeOpts{Name: name("links"), Help: "Open links."}),
		dials:    f.NewCounterVec(prometheus.CounterOpts{Name: name("dials_total"), Help: "Dials by result."}, []string{"result"}),
		sent:     f.NewCounterVec(prometheus.CounterOpts{Name: name("sent_bytes_total"), Help: "Bytes of frames sent."}, byKind),
		received: f.NewCounterVec(prometheus.CounterOpts{Name: name("received_bytes_total"), Help: "Bytes of frames received."}, byKind),
		dropped:  f.NewCounterVec(prometheus.CounterOpts{Name: name("dropped_total"), Help: "Messages dropped for newer ones."}, byKind),
		skipped:  f.NewCounter(prometheus.CounterOpts{Name: name("skipped_total"), Help: "Messages of unknown kinds or newer versions."}),
		ended:    f.NewCounterVec(prometheus.CounterOpts{Name: name("ended_total"), Help: "Ended links by reason."}, []string{"reason"}),
	}
}

// label returns the kind as a label value.
func (k Kind) label() string { return strconv.Itoa(int(k)) }
