package config

import "amaranthplank.example/amaranthplank/pkg/ident"

// Model is one model that engines serve.
type Model struct {
	Name ident.Model `json:"name"`
	// Version is the version of the weights that engines should load.
	Version string `json:"version"`
	// SwitchTime is how long an engine is unavailable while it changes its role.
	SwitchTime Duration `json:"switchTime,omitempty"`
	// Scaling bounds how many engines may be ordered for the model; nil means
	// that none are ordered.
	Scaling *Scaling `json:"scaling,omitempty"`
}
