package config

import "amaranthplank.example/amaranthplank/pkg/ident"

// Service is one plain service, as opposed to a model served by engines.
type Service struct {
	Name ident.Service `json:"name"`
}
