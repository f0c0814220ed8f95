package gateway

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/quota"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/retry"
)

// Limits are limits of the whole fleet, which may change while a process runs.
type Limits struct {
	// RetryRatio and RetrySlack bound how often requests to one model or service are
	// sent again within any window of length RetryWindow: at most RetryRatio times
	// the number of requests to it, plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Quota is the tolerance with which quotas of workspaces are enforced.
	Quota quota.Bounds
}

// retryMargin is the share of the fleet's retry limit that is used. The rest allows
// for daemons that differ in their windows and in their count of daemons.
const retryMargin = 0.8

// ApplyLimits replaces the limits.
func (g *Gateway) ApplyLimits(limits Limits) {
	g.limits.Store(&limits)
	g.opts.Log.Info("limits taken", "retryRatio", limits.RetryRatio, "retrySlack", limits.RetrySlack, "retryWindow", limits.RetryWindow, "quota", limits.Quota)
}

// retryBudget returns this daemon's share of the fleet's retry limit for the
// request's model or service, and the key that identifies the model or service. Hosts
// with a stored checkpoint are counted too: a process that starts while the fleet is cut
// into parts sees only the daemons of its own.
func (g *Gateway) retryBudget(req *request.Request) (key string, share retry.Share) {
	now := time.Now()
	share = g.retryShares.share(g.limits.Load(), max(g.presence.Daemons(), g.standbyWriter.Hosts()), now)
	g.shareLog.record(share, now)
	return retryBudgetKey(req), share
}

// retryBudgetKey returns the name of the request's model or service. The operator's
// services become models and the reverse under the same name, and have one limit.
func retryBudgetKey(req *request.Request) string {
	if req.Model != "" {
		return string(req.Model)
	}
	return string(req.Service)
}
