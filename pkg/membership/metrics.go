package membership

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics holds the metrics of a Manager.
type metrics struct {
	members *prometheus.GaugeVec
	dropped prometheus.Counter
	renewed prometheus.Counter
}

// newMetrics registers the metrics.
func newMetrics(registerer prometheus.Registerer) *metrics {
	f := promauto.With(registerer)
	return &metrics{
		members: f.NewGaugeVec(prometheus.GaugeOpts{Name: "amaranthplank_members", Help: "Known members by status."}, []string{"status"}),
		dropped: f.NewCounter(prometheus.CounterOpts{Name: "amaranthplank_membership_dropped_total", Help: "Messages dropped since the manager was behind."}),
		renewed: f.NewCounter(prometheus.CounterOpts{Name: "amaranthplank_membership_renewed_total", Help: "New incarnations taken since others had ended the old one."}),
	}
}

// setMembers sets the gauge of members by status.
func (m *metrics) setMembers(members []Member) {
	counts := map[Status]int{Alive: 0, Suspect: 0, Dead: 0, Left: 0}
	for i := range members {
		counts[members[i].Status]++
	}
	for status, n := range counts {
		m.members.WithLabelValues(string(status)).Set(float64(n))
	}
}
