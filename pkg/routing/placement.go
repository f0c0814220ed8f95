package routing

import (
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Placement is where a model request runs.
type Placement struct {
	// Target computes the prompt and is the engine that the request is sent to.
	Target *fleet.TargetState
	// Decode takes the KV cache over and generates the answer. It is nil where
	// Target does both.
	Decode *fleet.TargetState
}

// Placer is what a router implements that may have a prompt and its answer
// computed by different engines.
type Placer interface {
	// Place returns where the next attempt of a request runs, as Choose does.
	// Done must be told of each of the placement's engines.
	Place(req *request.Request, exclude []ident.Target) (Placement, error)
}
