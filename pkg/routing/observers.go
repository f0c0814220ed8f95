package routing

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// LoadObserver is implemented by routers that use the load which targets report
// with their answers.
type LoadObserver interface {
	// ObserveLoad records the load that a target just reported with its answer.
	ObserveLoad(req *request.Request, target ident.Target, load fleet.LoadReport)
}

var _ LoadObserver = (*CombinedRouter)(nil)

// ObserveLoad passes the load to the router of the request's kind.
func (c *CombinedRouter) ObserveLoad(req *request.Request, target ident.Target, load fleet.LoadReport) {
	if req.Service != "" {
		c.Services.ObserveLoad(target, load)
		return
	}
	c.Models.ObserveLoad(target, load)
}

// ObserveLoad records the load that a replica reported with its answer.
func (s *ServiceRouter) ObserveLoad(target ident.Target, load fleet.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tracker, now := s.tracker(target), s.opts.Now()
	tracker.observeAnswerLoad(load, now)
	tracker.stateWorkPercent(load.WorkPercent, now)
}

// ObserveLoad records the load that an engine reported with its answer.
func (r *ModelRouter) ObserveLoad(target ident.Target, load fleet.LoadReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if tracker, ok := r.trackers[target]; ok {
		tracker.observeAnswerLoad(load, r.opts.Now())
	}
}

// PromptTimeObserver is implemented by routers that estimate the speed of targets
// from the times of earlier prompts.
type PromptTimeObserver interface {
	// ObservePromptTime records how long a target took for a request's prompt.
	ObservePromptTime(req *request.Request, target ident.Target, took time.Duration)
}

var _ PromptTimeObserver = (*CombinedRouter)(nil)

// ObservePromptTime passes the time to the model router; services have no
// prompts.
func (c *CombinedRouter) ObservePromptTime(req *request.Request, target ident.Target, took time.Duration) {
	if req.Service == "" {
		c.Models.ObservePromptTime(req, target, took)
	}
}
