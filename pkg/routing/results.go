package routing

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Outcome is the result of an attempt at a target.
type Outcome int

// The outcomes of attempts. Attempts that ended because of the caller have
// none.
const (
	// Answered means that the target returned a complete answer.
	Answered Outcome = iota
	// Rejected means that the target reported that it did not run the request.
	Rejected
	// Failed means that the answer ended before it was complete, or that the
	// target could not be reached.
	Failed
)

// ResultObserver is implemented by routers that use the outcomes of earlier
// attempts.
type ResultObserver interface {
	// ObserveResult records the outcome of an attempt at a target.
	ObserveResult(req *request.Request, target ident.Target, outcome Outcome)
}

var _ ResultObserver = (*CombinedRouter)(nil)

// ObserveResult passes the outcome to the router of the request's kind, which
// ejects failing targets.
func (c *CombinedRouter) ObserveResult(req *request.Request, target ident.Target, outcome Outcome) {
	if req.Service != "" {
		c.Services.ObserveResult(target, outcome)
		return
	}
	c.Models.ObserveResult(target, outcome)
}

const (
	// firstPause is how long an engine gets no new work after its first
	// failure. Each further consecutive failure doubles it.
	firstPause = 150 * time.Millisecond
	// maxDoublings bounds the shift that doubles the pause. OutlierPause bounds
	// the pause itself.
	maxDoublings = 10
	// rejectedPause is how long the daemons that receive this one's report
	// exclude an engine that rejected a request here, since it rejects the
	// requests of all daemons alike.
	rejectedPause = 500 * time.Millisecond
)

// ObserveResult records the outcome of an attempt at an engine and ejects
// failing engines for a while.
func (r *ModelRouter) ObserveResult(target ident.Target, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tracker, ok := r.trackers[target]
	if !ok {
		return
	}
	if outcome == Answered {
		tracker.failures = 0
		return
	}
	if outcome == Rejected && len(r.unsentAway) < maxUnsent {
		r.unsentAway = append(r.unsentAway, backlog.Away{Target: target, Millis: rejectedPause.Milliseconds()})
	}
	pause := firstPause << min(tracker.failures, maxDoublings)
	tracker.failures++
	tracker.ejectedUntil = r.opts.Now().Add(min(pause, r.opts.Knobs().OutlierPause.D()))
	r.opts.notifyEjected(target, tracker.failures)
}
