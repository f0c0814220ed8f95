package routing

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Results is what a router implements that learns from how attempts went.
type Results interface {
	// Result tells whether the target answered an attempt. Attempts that
	// ended for the caller's reasons are not told.
	Result(req *request.Request, target ident.Target, answered bool)
}

var _ Results = (*ByKind)(nil)

// Result tells the router of the request's kind, which leaves out failing
// targets.
func (b *ByKind) Result(req *request.Request, target ident.Target, answered bool) {
	if req.Service != "" {
		b.Services.Result(target, answered)
		return
	}
	b.Models.Result(target, answered)
}

const (
	// firstPause is how long an engine gets no new work after it failed once.
	// Each further failure in a row doubles it.
	firstPause = 150 * time.Millisecond
	// maxDoublings bounds the doublings.
	maxDoublings = 10
)

// Result tells whether an engine answered, so that failing ones are left out
// for a while.
func (r *ModelRouter) Result(target ident.Target, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own, ok := r.ledgers[target]
	if !ok {
		return
	}
	if answered {
		own.failures = 0
		return
	}
	pause := firstPause << min(own.failures, maxDoublings)
	own.failures++
	own.ejectedUntil = r.opts.Now().Add(min(pause, r.opts.Knobs().OutlierPause.D()))
	r.opts.leftOut(target, own.failures)
}
