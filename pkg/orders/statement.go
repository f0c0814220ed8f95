package orders

import "amaranthplank.example/amaranthplank/pkg/lease"

// statement stands in for an authority where a process states a fact about its
// own past. It may say nothing about what is to happen.
type statement struct {
	lease.Authority
}

// Check always succeeds.
func (statement) Check() error { return nil }
