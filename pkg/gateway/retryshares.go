package gateway

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/retry"
)

// daemonCountPeriod is the period of which the greatest number of daemons counts. A
// daemon that has disappeared may be cut off and serve on, with the share that it had;
// regions can lose each other for minutes.
const daemonCountPeriod = 10 * time.Minute

// retryShares computes this daemon's share of the fleet's retry limit.
type retryShares struct {
	// startedAt is when the process started.
	startedAt time.Time
	// viewLag is the time within which this daemon reaches the views of others.
	viewLag time.Duration
	daemons peakCount
}

// newRetryShares returns the shares of a process that starts now.
func newRetryShares(now time.Time, viewLag time.Duration) *retryShares {
	return &retryShares{startedAt: now, viewLag: viewLag, daemons: peakCount{period: daemonCountPeriod}}
}

// share returns the share of one daemon if the given number of them is present, this
// one included. Its burst becomes
// usable when one window has passed since the start: the burst that a previous
// process of the host, or the daemons that had a larger share before this one was
// there, may have used is then outside of the window.
func (s *retryShares) share(limits *Limits, daemons int, now time.Time) retry.Share {
	count := s.daemons.observe(daemons, now)
	return retry.Share{
		Ratio: retryMargin * limits.RetryRatio, Burst: retryMargin * limits.RetrySlack / float64(count),
		FullAt: s.startedAt.Add(limits.RetryWindow + s.viewLag), Window: limits.RetryWindow,
	}
}
