package routing

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// AttemptResult is the result of an attempt at a target.
type AttemptResult int

// The results of attempts. Attempts that ended because of the caller have
// none.
const (
	// Answered means that the target returned a complete answer.
	Answered AttemptResult = iota
	// Rejected means that the target reported that it did not run the request.
	Rejected
	// Misdirected means that the target did not run the request and that its role or
	// identity is not the one that the request was sent for.
	Misdirected
	// Failed means that the answer ended before it was complete, or that the
	// target could not be reached.
	Failed
)

// ResultObserver is implemented by routers that use the results of earlier
// attempts.
type ResultObserver interface {
	// ObserveResult records the result of an attempt at a target.
	ObserveResult(req *request.Request, target ident.Target, result AttemptResult)
}

var _ ResultObserver = (*CombinedRouter)(nil)

// ObserveResult passes the result to the router of the request's kind, which
// ejects failing targets.
func (c *CombinedRouter) ObserveResult(req *request.Request, target ident.Target, result AttemptResult) {
	if req.Service != "" {
		c.Services.ObserveResult(target, result)
		return
	}
	c.Models.ObserveResult(target, result)
}

const (
	// firstEjectionTime is how long an engine gets no new work after its first
	// failure. Each further consecutive failure doubles it.
	firstEjectionTime = 150 * time.Millisecond
	// maxDoublings bounds the shift that doubles the time. OutlierPause bounds
	// the time itself.
	maxDoublings = 10
	// rejectedExclusion is how long the daemons that receive this one's report
	// exclude an engine that rejected a request here, since it rejects the
	// requests of all daemons alike.
	rejectedExclusion = 500 * time.Millisecond
	// misdirectedExclusion is how long daemons exclude an engine that they know by a role
	// which it no longer has. It ends once they see the new role, which daemons that are
	// cut off from the store don't for as long as that lasts.
	misdirectedExclusion = 10 * time.Second
)

// ObserveResult records the result of an attempt at an engine and ejects failing engines
// for a while. An absent one needs no ejection.
func (r *ModelRouter) ObserveResult(target ident.Target, result AttemptResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tracker, ok := r.trackers[target]
	if !ok {
		return
	}
	if result == Answered {
		tracker.failures = 0
		return
	}
	if result == Rejected || result == Misdirected {
		r.reportRejection(target, tracker, result)
	}
	if r.opts.absences.isAbsent(target) {
		return
	}
	ejection, now := firstEjectionTime<<min(tracker.failures, maxDoublings), r.opts.Now()
	tracker.failures++
	ejected := tracker.ejectedUntil.After(now)
	tracker.ejectedUntil = now.Add(min(ejection, r.opts.Knobs().OutlierPause.D()))
	if !ejected {
		r.opts.notifyEjected(target, tracker.failures)
	}
}

// reportRejection adds an engine that rejected a request to the exclusions in the next report.
// One that was known by a former role is excluded here too. r.mu must be held.
func (r *ModelRouter) reportRejection(target ident.Target, tracker *targetTracker, result AttemptResult) {
	exclusion := backlog.Exclusion{Target: target, Millis: rejectedExclusion.Milliseconds()}
	if result == Misdirected && tracker.role != "" {
		exclusion.Millis, exclusion.Role = misdirectedExclusion.Milliseconds(), tracker.role
		r.excludeLocked([]backlog.Exclusion{exclusion})
	}
	if len(r.unsentExclusions) < maxUnsent {
		r.unsentExclusions = append(r.unsentExclusions, exclusion)
	}
}
