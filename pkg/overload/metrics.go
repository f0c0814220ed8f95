package overload

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"
)

// logInterval is the least time between two log lines on a class that is full.
const logInterval = 5 * time.Second

// metrics count and log what was refused and what gave way.
type metrics struct {
	log   *slog.Logger
	ended *prometheus.CounterVec

	mu    sync.Mutex
	lines map[string]*rate.Sometimes
}

// What happened to something that didn't fit.
const (
	outcomeRefused = "refused"
	outcomeEvicted = "evicted"
)

// newMetrics registers the metrics of a budget, unless registerer is nil.
func newMetrics(b *Budget, log *slog.Logger, registerer prometheus.Registerer) *metrics {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	m := &metrics{log: log, lines: make(map[string]*rate.Sometimes), ended: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "amaranthplank_overload_total", Help: "What was refused, or gave way to others, since a class of what callers hold was full.",
	}, []string{"class", "outcome"})}
	if registerer == nil {
		return m
	}
	registerer.MustRegister(m.ended)
	for _, c := range []*class{&b.heads, &b.requests, &b.bodies} {
		registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "amaranthplank_held_bytes", Help: "Bytes that callers make the process hold at present, by class.",
			ConstLabels: prometheus.Labels{"class": c.name},
		}, func() float64 { return b.heldBytes(c) }))
	}
	return m
}

// refused records that something was refused since a class holds as much as it may.
func (m *metrics) refused(class string, held, most int64) {
	m.record(class, outcomeRefused, held, most)
}

// evicted records that something of a full class gave way.
func (m *metrics) evicted(class string, held, most int64) {
	m.record(class, outcomeEvicted, held, most)
}

// record counts an outcome, and logs it unless a line on the class was written of late.
func (m *metrics) record(class, outcome string, held, most int64) {
	m.ended.WithLabelValues(class, outcome).Inc()
	m.mu.Lock()
	line := m.lines[class]
	if line == nil {
		line = &rate.Sometimes{Interval: logInterval}
		m.lines[class] = line
	}
	m.mu.Unlock()
	line.Do(func() {
		m.log.LogAttrs(context.Background(), slog.LevelWarn, "callers hold as much as they may",
			slog.String("class", class), slog.String("outcome", outcome), slog.Int64("held", held), slog.Int64("most", most))
	})
}
