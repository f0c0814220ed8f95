package config

import "amaranthplank.example/amaranthplank/pkg/ident"

// Workspace is the unit of API keys, limits and fair sharing.
type Workspace struct {
	Name ident.Workspace `json:"name"`
	// Weight is the workspace's relative share of a busy fleet.
	Weight float64 `json:"weight"`
	Keys   []Key   `json:"keys"`
	// Urgency overrides the routes' urgency if set.
	Urgency *int `json:"urgency,omitempty"`
	// Quota limits the workspace over all daemons, or is nil. It comes with the
	// configuration that the platform's operator publishes; files that set admission knobs
	// have limits of their own there.
	Quota *Quota `json:"-"`
}
