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
	// Host restricts the route to requests for one host.
	Host string `json:"host,omitempty"`
	// Split shares the route's requests out by weight. It takes the place of
	// Model and Service.
	Split []Share `json:"split,omitempty"`
	// Stream says that answers are streams of events.
	Stream bool `json:"stream,omitempty"`
	// Resumable says that another target may go on with a stream after its
	// last event.
	Resumable bool `json:"resumable,omitempty"`
	// Attempts bounds the targets that one request is sent to; zero takes
	// what the knobs say.
	Attempts int64 `json:"attempts,omitempty"`
	// Timeout bounds how long a request is kept; zero takes the knobs'.
	Timeout Duration `json:"timeout,omitempty"`
	// FirstPart is the time to the first part of an answer that counts as
	// timely, Gap the longest such pause between events. Zero leaves it open.
	FirstPart Duration `json:"firstPart,omitempty"`
	Gap       Duration `json:"gap,omitempty"`
	// Urgency ranks the routes; 0 is the most urgent.
	Urgency int `json:"urgency,omitempty"`
}

// Share is the part of a route's requests that goes to one model or service.
type Share struct {
	Model   ident.Model   `json:"model,omitempty"`
	Service ident.Service `json:"service,omitempty"`
	Weight  float64       `json:"weight"`
}

// Pick returns the share that a number in [0,1) falls to. A route without a
// split has one share.
func (r *Route) Pick(random float64) Share {
	total := 0.0
	for i := range r.Split {
		total += r.Split[i].Weight
	}
	for i := range r.Split {
		random -= r.Split[i].Weight / total
		if random < 0 {
			return r.Split[i]
		}
	}
	if len(r.Split) > 0 && total > 0 {
		return r.Split[len(r.Split)-1]
	}
	return Share{Model: r.Model, Service: r.Service, Weight: 1}
}
