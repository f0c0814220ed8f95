package config

import "amaranthplank.example/amaranthplank/pkg/ident"

// Scaling bounds what may be ordered of a model's engines in each failure
// domain.
type Scaling struct {
	// Minimum and Maximum bound the engines of both kinds together.
	Minimum int `json:"minimum"`
	Maximum int `json:"maximum"`
	// Boot is the time from an order until its engines serve.
	Boot Duration `json:"boot"`
	// Prices are what a second of an engine costs by failure domain, and
	// ReclaimablePrice what one costs beside it that may be taken back.
	Prices           map[ident.FailureDomain]float64 `json:"prices"`
	ReclaimablePrice float64                         `json:"reclaimablePrice"`
}
