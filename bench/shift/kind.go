package shift

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// kind is a kind of request of a deployment, with its sizes and rates.
type kind struct {
	name  string
	class ident.Class
	// service is set for calls of a plain service, which has no model; duration is
	// how long one takes.
	service  ident.Service
	duration time.Duration
	// perSecond is the fixed rate of service calls and lookups over the whole
	// fleet; zero means that the rate follows from the deployment's load.
	perSecond float64
	// idempotent requests may be sent again after a failure.
	idempotent bool
	// shared counts the prompt tokens that requests of one group have in
	// common. groups is the number of groups of all workspaces; each workspace
	// has its share of them, by its size, and at least one.
	shared int
	groups int
	// unique is the mean of a request's own prompt tokens, output that of the
	// tokens it generates; both vary by up to half.
	unique int
	output int
	// deadline is the time from the arrival within which an answer counts.
	deadline time.Duration
}

// minEngineTime returns the least engine time in seconds that a request can
// take: shared tokens are cached and each engine has one role. prompt counts only
// the tokens that aren't shared.
func minEngineTime(prompt, output float64) float64 {
	return prompt/(prefillRate*prefillGain) + output/(decodeRate*engineSlots*decodeGain)
}

// meanMinEngineTime returns minEngineTime for the mean sizes of the kind.
func (k *kind) meanMinEngineTime() float64 {
	return minEngineTime(float64(k.unique), float64(k.output))
}
