package config

import "amaranthplank.example/amaranthplank/pkg/ident"

// Workspace is one customer.
type Workspace struct {
	Name ident.Workspace `json:"name"`
	// Weight is the workspace's part of a busy fleet beside the others'.
	Weight float64 `json:"weight"`
	Keys   []Key   `json:"keys"`
	// Urgency takes the place of the routes' where it is set.
	Urgency *int `json:"urgency,omitempty"`
}
