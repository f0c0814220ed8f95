package gateway

import (
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/waitlist"
)

const (
	// maxWaiting and maxWaitingBytes bound the requests that wait for room at one model's
	// engines, and their bodies.
	maxWaiting      = 256
	maxWaitingBytes = 8 << 20
	// waitLogInterval is the least time between two log lines on requests that waited.
	waitLogInterval = 5 * time.Second
)

// newWaiter returns the waiter for requests that no engine takes in time.
func (g *Gateway) newWaiter() *waitlist.Waiter {
	log := &waitLog{log: g.opts.Log, waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "amaranthplank_room_wait_seconds", Help: "How long requests waited for room at the engines, by how the wait ended.",
		Buckets: prometheus.ExponentialBuckets(0.025, 2, 8),
	}, []string{"outcome"})}
	g.registry.MustRegister(log.waits)
	return waitlist.New(waitlist.Options{
		Bounds: waitlist.Bounds{Entries: maxWaiting, Bytes: maxWaitingBytes},
		NoRoom: func(err error) bool { return errors.Is(err, routing.ErrNoRoom) },
		OnEnd:  func(outcome waitlist.Outcome, waited time.Duration) { log.record(outcome, waited, time.Now()) },
	})
}

// waitLog counts and logs waits for room.
type waitLog struct {
	log   *slog.Logger
	waits *prometheus.HistogramVec

	mu sync.Mutex
	// counts and longest are of the waits that ended since the last line, at loggedAt.
	counts   map[waitlist.Outcome]int
	longest  time.Duration
	loggedAt time.Time
}

// record adds a wait that ended, and logs those since the last line unless that was
// written within waitLogInterval.
func (l *waitLog) record(outcome waitlist.Outcome, waited time.Duration, now time.Time) {
	l.waits.WithLabelValues(string(outcome)).Observe(waited.Seconds())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = make(map[waitlist.Outcome]int)
	}
	l.counts[outcome]++
	l.longest = max(l.longest, waited)
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < waitLogInterval {
		return
	}
	l.log.Info("requests waited for room", "placed", l.counts[waitlist.Placed], "expired", l.counts[waitlist.Expired],
		"left", l.counts[waitlist.Left], "displaced", l.counts[waitlist.Displaced], "longest", l.longest)
	l.counts, l.longest, l.loggedAt = nil, 0, now
}
