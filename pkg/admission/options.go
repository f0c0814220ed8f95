package admission

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Gate tells how busy the targets of a request are.
type Gate interface {
	// Wait returns how long the request would wait at the best target, and
	// the share of the targets' slots that are taken.
	Wait(req *request.Request) (wait time.Duration, taken float64)
	// Run returns how long the request would run at the least, if its answer
	// has so many tokens.
	Run(req *request.Request, output float64) time.Duration
}

// Options are what a Queue needs.
type Options struct {
	Gate      Gate
	Elsewhere Elsewhere
	// Knobs returns the values in force for a request; it is asked at each
	// decision.
	Knobs func(req *request.Request) *config.AdmissionKnobs
	// Weight returns a workspace's weight.
	Weight func(workspace ident.Workspace) float64
	Now    func() time.Time
	// Off switches parts off; it is for measures alone.
	Off Off
}

// Off names the parts of a Queue that a measure leaves out.
type Off struct {
	// Fair serves all workspaces in order of arrival.
	Fair bool
	// Excess lets a workspace fill the targets beyond its part.
	Excess bool
	// Classes treats all requests as interactive.
	Classes bool
	// Shedding refuses nothing for its deadline.
	Shedding bool
	// Gate lets everything through at once.
	Gate bool
}
