package shift

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// kind is one sort of request of a deployment.
type kind struct {
	name  string
	class ident.Class
	// service is set for calls of a plain service, run is how long one takes.
	service ident.Service
	run     time.Duration
	// perSecond is a service's or lookup's rate over the whole fleet.
	perSecond float64
	// idempotent requests may be sent again after a failure.
	idempotent bool
	// shared counts the prompt tokens that requests of one group have in
	// common, groups the groups of each unit of a workspace's size.
	shared int
	groups int
	// unique counts a request's own prompt tokens, output the tokens it
	// generates; both vary by half.
	unique int
	output int
	// deadline is how long the answer is of use.
	deadline time.Duration
}

// bestCost is the engine time in seconds that a request takes at the least:
// what is shared is cached and the engines have one role each.
func bestCost(prompt, output float64) float64 {
	return prompt/(prefillRate*prefillGain) + output/(decodeRate*slots*decodeGain)
}

// cost is the mean bestCost of the kind.
func (k *kind) cost() float64 { return bestCost(float64(k.unique), float64(k.output)) }
