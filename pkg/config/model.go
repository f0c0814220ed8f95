package config

import "amaranthplank.example/amaranthplank/pkg/ident"

// Model is one model that engines serve.
type Model struct {
	Name ident.Model `json:"name"`
	// Version is the weights' version that engines are to load.
	Version string `json:"version"`
	// SwitchTime is how long an engine is away to change its role.
	SwitchTime Duration `json:"switchTime,omitempty"`
	// Scaling bounds what may be ordered of the model's engines; nil orders
	// nothing.
	Scaling *Scaling `json:"scaling,omitempty"`
}
