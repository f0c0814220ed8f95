package routing

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// LoadObserver is what a router implements that learns targets' loads from
// their answers.
type LoadObserver interface {
	// Load takes in the load that a target told with its answer just now.
	Load(req *request.Request, target ident.Target, load fleet.LoadReport)
}

var _ LoadObserver = (*ByKind)(nil)

// Load tells the router of the request's kind.
func (b *ByKind) Load(req *request.Request, target ident.Target, load fleet.LoadReport) {
	if req.Service != "" {
		b.Services.Load(target, load)
		return
	}
	b.Models.Load(target, load)
}

// Load takes in the load that a replica told.
func (s *ServiceRouter) Load(target ident.Target, load fleet.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger(target).told(load, s.opts.Now())
}

// Load takes in the load that an engine told.
func (r *ModelRouter) Load(target ident.Target, load fleet.LoadReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if own, ok := r.ledgers[target]; ok {
		own.told(load, r.opts.Now())
	}
}

// TimeObserver is what a router implements that learns how fast targets are.
type TimeObserver interface {
	// PromptTime takes in how long a target took for a request's prompt.
	PromptTime(req *request.Request, target ident.Target, took time.Duration)
}

var _ TimeObserver = (*ByKind)(nil)

// PromptTime tells the router of engines.
func (b *ByKind) PromptTime(req *request.Request, target ident.Target, took time.Duration) {
	if req.Service == "" {
		b.Models.PromptTime(req, target, took)
	}
}
