package config

import "amaranthplank.example/amaranthplank/pkg/ident"

// Scaling bounds how many engines may be ordered for a model in each failure
// domain.
type Scaling struct {
	// Minimum and Maximum bound dependable and reclaimable engines together.
	Minimum int `json:"minimum"`
	Maximum int `json:"maximum"`
	// Boot is the time from an order until the ordered engines serve.
	Boot Duration `json:"boot"`
	// Prices holds the price of an engine per second by failure domain, and
	// ReclaimablePrice is the relative price of a reclaimable engine.
	Prices           map[ident.FailureDomain]float64 `json:"prices"`
	ReclaimablePrice float64                         `json:"reclaimablePrice"`
}
