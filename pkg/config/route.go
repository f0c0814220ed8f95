package config

import "amaranthplank.example/amaranthplank/pkg/ident"

// Route matches requests and says how they are treated. The first route that
// matches is taken.
type Route struct {
	Name ident.Route `json:"name"`
	// Path is the start of the path that the route matches.
	Path string `json:"path"`
	// Methods lists the methods that match; none means all.
	Methods []string `json:"methods,omitempty"`
	// Model or Service restricts the route to one of them; empty means that
	// the request names it.
	Model   ident.Model   `json:"model,omitempty"`
	Service ident.Service `json:"service,omitempty"`
	Class   ident.Class   `json:"class"`
	// Idempotent says that a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// Open says that requests need no key.
	Open bool `json:"open,omitempty"`
}
