package gateway

import (
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Limits bound the whole fleet and may change while a process runs.
type Limits struct {
	// RetryRatio and RetrySlack bound the sends beyond the first of each
	// request to one model or service, in any window: a share of its requests,
	// and a number besides.
	RetryRatio float64
	RetrySlack float64
}

// retryMargin is the part of the fleet's bound on retries that is used, since
// windows and the count of daemons are not the same everywhere.
const retryMargin = 0.8

// ApplyLimits replaces the limits.
func (g *Gateway) ApplyLimits(limits Limits) {
	g.limits.Store(&limits)
	g.opts.Log.Info("limits taken", "retryRatio", limits.RetryRatio, "retrySlack", limits.RetrySlack)
}

// retryBudget returns this daemon's part of the fleet's bound on retries to the
// request's model or service.
func (g *Gateway) retryBudget(req *request.Request) (key string, ratio, burst float64) {
	limits := g.limits.Load()
	key = "service/" + string(req.Service)
	if req.Model != "" {
		key = "model/" + string(req.Model)
	}
	burst = retryMargin * limits.RetrySlack / float64(g.presence.Daemons())
	return key, retryMargin * limits.RetryRatio, burst
}
