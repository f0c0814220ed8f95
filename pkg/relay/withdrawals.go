package relay

import (
	"log/slog"
	"sync"
	"time"
)

// refusalLogInterval is the least time between two log lines on refused retries.
const refusalLogInterval = 5 * time.Second

// withdrawalObserver counts the retries that the budgets grant and refuse, and logs
// refusals.
type withdrawalObserver struct {
	metrics *metrics
	log     *slog.Logger

	mu sync.Mutex
	// loggedAt is the time of the last log line.
	loggedAt time.Time
	// refused counts the refusals that no log line has reported.
	refused int
}

// observe records one withdrawal.
func (o *withdrawalObserver) observe(budget string, granted bool) {
	result := "refused"
	if granted {
		result = "granted"
	}
	o.metrics.retries.WithLabelValues(budget, result).Inc()
	if granted {
		return
	}
	if refused := o.countRefusal(time.Now()); refused > 0 {
		o.log.Info("retry refused by its budget", "budget", budget, "refusals", refused)
	}
}

// countRefusal returns the number of refusals that are to be logged now, or zero if
// the last log line was written within refusalLogInterval.
func (o *withdrawalObserver) countRefusal(now time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refused++
	if !o.loggedAt.IsZero() && now.Sub(o.loggedAt) < refusalLogInterval {
		return 0
	}
	refused := o.refused
	o.refused, o.loggedAt = 0, now
	return refused
}
