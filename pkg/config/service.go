package config

import "amaranthplank.example/amaranthplank/pkg/ident"

// Service is one plain service.
type Service struct {
	Name ident.Service `json:"name"`
}
