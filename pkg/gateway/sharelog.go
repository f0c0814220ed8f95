package gateway

import (
	"log/slog"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/retry"
)

// shareLogInterval is the least time between two log lines on a changed retry share.
const shareLogInterval = 5 * time.Second

// shareLog logs changes of this daemon's share of the retry limit.
type shareLog struct {
	log *slog.Logger

	mu sync.Mutex
	// logged is the share in the last log line, which was written at loggedAt.
	logged   retry.Share
	loggedAt time.Time
}

// record logs the share if it differs from the one logged last, unless that was within
// shareLogInterval.
func (l *shareLog) record(share retry.Share, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if share == l.logged || (!l.loggedAt.IsZero() && now.Sub(l.loggedAt) < shareLogInterval) {
		return
	}
	l.logged, l.loggedAt = share, now
	l.log.Info("retry share changed", "ratio", share.Ratio, "burst", share.Burst, "burstUsableIn", max(0, share.FullAt.Sub(now)))
}
