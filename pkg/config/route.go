package config

import "amaranthplank.example/amaranthplank/pkg/ident"

// Route matches requests and defines how they are handled. The first matching
// route applies.
type Route struct {
	Name ident.Route `json:"name"`
	// Path is the prefix of the request paths that the route matches.
	Path string `json:"path"`
	// Methods lists the methods that match; an empty list means all.
	Methods []string `json:"methods,omitempty"`
	// Model or Service restricts the route to one model or service; if both
	// are empty, the request names it.
	Model   ident.Model   `json:"model,omitempty"`
	Service ident.Service `json:"service,omitempty"`
	Class   ident.Class   `json:"class"`
	// Idempotent means that a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// Open means that requests need no key.
	Open bool `json:"open,omitempty"`
	// Host restricts the route to requests for one host.
	Host string `json:"host,omitempty"`
	// Split distributes the route's requests by weight. It replaces Model and
	// Service.
	Split []Share `json:"split,omitempty"`
	// Stream means that responses are streams of events.
	Stream bool `json:"stream,omitempty"`
	// Resumable means that another target may continue a stream after its last
	// event.
	Resumable bool `json:"resumable,omitempty"`
	// Attempts limits how many targets one request is sent to; zero means
	// RetryKnobs.MaxAttempts.
	Attempts int64 `json:"attempts,omitempty"`
	// Timeout limits the duration of a request in addition to the limits of
	// RetryKnobs; zero adds no limit.
	Timeout Duration `json:"timeout,omitempty"`
	// FirstPart is the desired maximum time to the first part of the response, and
	// TokenGap the desired maximum time between two events. Zero sets no maximum.
	FirstPart Duration `json:"firstPart,omitempty"`
	TokenGap  Duration `json:"gap,omitempty"`
	// Urgency is the priority of the route's requests; 0 is the most urgent.
	Urgency int `json:"urgency,omitempty"`
}

// Share is the share of a route's requests that goes to one model or service.
type Share struct {
	Model   ident.Model   `json:"model,omitempty"`
	Service ident.Service `json:"service,omitempty"`
	Weight  float64       `json:"weight"`
}

// Pools returns the models and services to which the route's requests go.
func (r *Route) Pools() []ident.Pool {
	if len(r.Split) == 0 {
		return []ident.Pool{{Model: r.Model, Service: r.Service}}
	}
	pools := make([]ident.Pool, 0, len(r.Split))
	for i := range r.Split {
		pools = append(pools, ident.Pool{Model: r.Split[i].Model, Service: r.Split[i].Service})
	}
	return pools
}

// Pick returns the share that a random number in [0,1) selects. A route without a
// split has a single share.
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
