package routing

import (
	"time"

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
	// Holder holds a part of the prompt that Target fetches first. It is nil
	// where nothing is fetched.
	Holder *fleet.TargetState
	// Expected is what the placement was reckoned at.
	Expected Expected
}

// Expected is how a prompt is reckoned to fare at its engine.
type Expected struct {
	// Wait is the time before the prompt is looked at, Own that of the prompt.
	Wait, Own time.Duration
	// Uncached counts the prompt tokens that are computed, Present the requests
	// that the engine is reckoned to hold.
	Uncached int
	Present  float64
	// Slowness is how many times longer than reckoned its prompts have taken.
	Slowness float64
}

// Placer is what a router implements that may have a prompt and its answer
// computed by different engines.
type Placer interface {
	// Place returns where the next attempt of a request runs, as Choose does.
	// Done must be told of each of the placement's engines.
	Place(req *request.Request, exclude []ident.Target) (Placement, error)
}
