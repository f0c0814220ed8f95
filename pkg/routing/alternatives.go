package routing

import (
	"amaranthplank.example/amaranthplank/pkg/request"
)

// AlternativeChecker is implemented by routers that can report whether a request could
// be sent elsewhere, without counting it anywhere.
type AlternativeChecker interface {
	// HasAlternative reports whether a target that the constraints allow would take
	// the request now. apart permits separate engines for prefill and decode.
	HasAlternative(req *request.Request, constraints *Constraints, apart bool) bool
}

var _ AlternativeChecker = (*CombinedRouter)(nil)

// HasAlternative calls the router of models or that of services.
func (c *CombinedRouter) HasAlternative(req *request.Request, constraints *Constraints, apart bool) bool {
	if req.Service != "" {
		return c.Services.HasAlternative(req, constraints)
	}
	return c.Models.HasAlternative(req, constraints, apart)
}

// HasAlternative reports whether an engine that the constraints allow would take the
// request in time.
func (r *ModelRouter) HasAlternative(req *request.Request, constraints *Constraints, apart bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scoreEngines(r.refresh(), req, constraints)
	prefill, _ := r.bestEngines(req, constraints, apart && !r.opts.Disabled.Disaggregation)
	return prefill >= 0
}

// HasAlternative reports whether a replica that the constraints allow takes calls.
func (s *ServiceRouter) HasAlternative(req *request.Request, constraints *Constraints) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collectUsable(s.opts.View.Snapshot(), req.Service, constraints)
	return len(s.usable) > 0
}
