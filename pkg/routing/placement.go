package routing

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Placement is the choice of targets for a request. For a service call only
// Target is set.
type Placement struct {
	// Target is the target that the request is sent to. For a model request it
	// is the engine that computes the prompt.
	Target *fleet.TargetState
	// Decode takes over the KV cache and generates the answer. It is nil if
	// Target does both.
	Decode *fleet.TargetState
	// CacheHolder has a part of the prompt in its cache that Target fetches first.
	// It is nil if nothing is fetched.
	CacheHolder *fleet.TargetState
	// Expected is the estimate that the placement is based on.
	Expected Expected
}

// Expected is the estimate for a prompt at its engine. It is logged, with its
// Go field names.
type Expected struct {
	// Wait is the time before the engine starts the prompt, Own the time to
	// fetch and compute it.
	Wait, Own time.Duration
	// Uncached is the number of prompt tokens to compute, Present the number of
	// requests expected at the engine.
	Uncached int
	Present  float64
	// Slowness is how many times longer than estimated the engine's prompts
	// have taken; zero before the first prompt.
	Slowness float64
}

// Placer is implemented by routers that can have a prompt and its answer
// computed by different engines.
type Placer interface {
	// Place returns where the next attempt of a request runs, as Choose does.
	// Done must be called for each engine of the placement.
	Place(req *request.Request, constraints *Constraints) (Placement, error)
	// PlaceWhole returns the one target that runs the next attempt of a request.
	PlaceWhole(req *request.Request, constraints *Constraints) (Placement, error)
	// ChooseDecode returns the engine that generates the answer of a request whose
	// prompt was computed by another engine.
	ChooseDecode(req *request.Request, constraints *Constraints) (*fleet.TargetState, error)
}
