package wire

import "amaranthplank.example/amaranthplank/pkg/fault"

// Failure is the body of an error response.
type Failure struct {
	Kind   fault.Kind `json:"kind"`
	Reason string     `json:"reason"`
	Remedy string     `json:"remedy"`
}
