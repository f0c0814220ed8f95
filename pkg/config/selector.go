package config

import "amaranthplank.example/amaranthplank/pkg/ident"

// Selector says what an exception applies to. Empty fields match everything;
// at least one must be set.
type Selector struct {
	Workspace     ident.Workspace     `json:"workspace,omitempty"`
	Route         ident.Route         `json:"route,omitempty"`
	Model         ident.Model         `json:"model,omitempty"`
	Service       ident.Service       `json:"service,omitempty"`
	FailureDomain ident.FailureDomain `json:"failureDomain,omitempty"`
}
