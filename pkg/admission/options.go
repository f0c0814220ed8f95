package admission

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Gate reports how busy the targets of a request are.
type Gate interface {
	// ExpectedWait returns how long the request would wait at the best target,
	// and the share of the targets' slots that are in use.
	ExpectedWait(req *request.Request) (wait time.Duration, utilization float64)
	// MinRunTime returns the least time that the request takes to run if its
	// answer has the given number of tokens.
	MinRunTime(req *request.Request, output float64) time.Duration
}

// Options configures a Queue.
type Options struct {
	Gate              Gate
	RemoteConsumption RemoteConsumption
	// Knobs returns the current knobs for a request; it is called for each
	// decision.
	Knobs func(req *request.Request) *config.AdmissionKnobs
	// Weight returns a workspace's weight.
	Weight func(workspace ident.Workspace) float64
	Now    func() time.Time
	// Disabled disables parts of the queue; it is only for benchmarks.
	Disabled DisabledParts
}

// DisabledParts selects the parts of a Queue that a benchmark disables.
type DisabledParts struct {
	// Fairness disables fairness: requests are served in order of arrival.
	Fairness bool
	// ExcessLimits disables the restriction of workspaces that exceed their share.
	ExcessLimits bool
	// Classes disables priority classes: all requests count as interactive.
	Classes bool
	// Shedding disables the refusal of requests that would miss their deadline.
	Shedding bool
	// Gate disables the gate: requests are admitted however busy the targets are.
	Gate bool
}
