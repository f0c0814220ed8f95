package gateway

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/retry"
)

// retryShares computes this daemon's share of the fleet's retry limit.
type retryShares struct {
	// startedAt is when the process started.
	startedAt time.Time
	// viewLag is the time within which other daemons learn of this one.
	viewLag time.Duration
}

// share returns the share of one of the given number of daemons. Its burst becomes
// usable when one window has passed since the start: the burst that a previous
// process of the host, or the daemons that had a larger share before this one was
// there, may have used is then outside of the window.
func (s *retryShares) share(limits *Limits, daemons int) retry.Share {
	return retry.Share{
		Ratio: retryMargin * limits.RetryRatio, Burst: retryMargin * limits.RetrySlack / float64(daemons),
		FullAt: s.startedAt.Add(limits.RetryWindow + s.viewLag),
	}
}
