package routing

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// LoadObserver is implemented by routers that learn the load of targets from
// their answers.
type LoadObserver interface {
	// Load records the load that a target just reported with its answer.
	Load(req *request.Request, target ident.Target, load fleet.LoadReport)
}

var _ LoadObserver = (*ByKind)(nil)

// Load passes the load to the router of the request's kind.
func (b *ByKind) Load(req *request.Request, target ident.Target, load fleet.LoadReport) {
	if req.Service != "" {
		b.Services.Load(target, load)
		return
	}
	b.Models.Load(target, load)
}

// Load records the load that a replica reported with its answer.
func (s *ServiceRouter) Load(target ident.Target, load fleet.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker(target).observeAnswerLoad(load, s.opts.Now())
}

// Load records the load that an engine reported with its answer.
func (r *ModelRouter) Load(target ident.Target, load fleet.LoadReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if tracker, ok := r.trackers[target]; ok {
		tracker.observeAnswerLoad(load, r.opts.Now())
	}
}

// TimeObserver is implemented by routers that learn how fast targets are.
type TimeObserver interface {
	// PromptTime records how long a target took for a request's prompt.
	PromptTime(req *request.Request, target ident.Target, took time.Duration)
}

var _ TimeObserver = (*ByKind)(nil)

// PromptTime passes the time to the model router; services have no prompts.
func (b *ByKind) PromptTime(req *request.Request, target ident.Target, took time.Duration) {
	if req.Service == "" {
		b.Models.PromptTime(req, target, took)
	}
}
