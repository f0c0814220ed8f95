package routing

import (
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// AlternativeChecker is implemented by routers that can report whether a request could
// be sent elsewhere, without counting it anywhere.
type AlternativeChecker interface {
	// HasAlternative reports whether a target other than the excluded ones would take
	// the request now. apart permits separate engines for prefill and decode.
	HasAlternative(req *request.Request, exclude []ident.Target, apart bool) bool
}

var _ AlternativeChecker = (*CombinedRouter)(nil)

// HasAlternative asks the router of models or that of services.
func (c *CombinedRouter) HasAlternative(req *request.Request, exclude []ident.Target, apart bool) bool {
	if req.Service != "" {
		return c.Services.HasAlternative(req, exclude)
	}
	return c.Models.HasAlternative(req, exclude, apart)
}

// HasAlternative reports whether an engine other than the excluded ones would take the
// request in time.
func (r *ModelRouter) HasAlternative(req *request.Request, exclude []ident.Target, apart bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scoreEngines(r.refresh(), req, exclude)
	prefill, _ := r.bestEngines(req, apart && !r.opts.Disabled.Disaggregation)
	return prefill >= 0
}

// HasAlternative reports whether a replica other than the excluded ones takes calls.
func (s *ServiceRouter) HasAlternative(req *request.Request, exclude []ident.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collectUsable(s.opts.View.Snapshot(), req.Service, exclude)
	return len(s.usable) > 0
}
