package quota

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// maxWorkspaceLabels bounds the workspaces that have series of their own.
	maxWorkspaceLabels = 64
	// otherWorkspaces is the label of the workspaces beyond that.
	otherWorkspaces = "other"
)

// metrics count what workspaces with a quota use.
type metrics struct {
	units    *prometheus.CounterVec
	requests *prometheus.CounterVec

	mu     sync.Mutex
	labels map[ident.Workspace]bool
}

// newMetrics registers the counters.
func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	return &metrics{
		labels: make(map[ident.Workspace]bool),
		units: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthplank_quota_units_total", Help: "Requests or tokens that were admitted under a quota, by workspace.",
		}, []string{"workspace"}),
		requests: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthplank_quota_requests_total", Help: "Requests under a quota, by workspace and result.",
		}, []string{"workspace", "result"}),
	}
}

// label returns the label of a workspace.
func (m *metrics) label(workspace ident.Workspace) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.labels[workspace] && len(m.labels) >= maxWorkspaceLabels {
		return otherWorkspaces
	}
	m.labels[workspace] = true
	return string(workspace)
}

// admitted counts a request that is within its quota.
func (m *metrics) admitted(workspace ident.Workspace, cost float64) {
	label := m.label(workspace)
	m.units.WithLabelValues(label).Add(cost)
	m.requests.WithLabelValues(label, "admitted").Inc()
}

// refused counts a request that was refused.
func (m *metrics) refused(workspace ident.Workspace, unanswered bool) {
	result := "refused"
	if unanswered {
		result = "unanswered"
	}
	m.requests.WithLabelValues(m.label(workspace), result).Inc()
}
