package routing

import "amaranthplank.example/amaranthplank/pkg/fleet"

// Placement is where a model request runs.
type Placement struct {
	// Target computes the prompt and is the engine that the request is sent to.
	Target *fleet.TargetState
	// Decode takes the KV cache over and generates the answer. It is nil where
	// Target does both.
	Decode *fleet.TargetState
}
