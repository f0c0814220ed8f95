package wire

import "amaranthplank.example/amaranthplank/pkg/fault"

// Failure is the answer of a call that failed.
type Failure struct {
	Kind   fault.Kind `json:"kind"`
	Reason string     `json:"reason"`
	Remedy string     `json:"remedy"`
}
