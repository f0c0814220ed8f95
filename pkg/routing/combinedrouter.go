package routing

import (
	"math/rand/v2"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// CombinedRouter routes model requests through one router and service calls
// through another.
type CombinedRouter struct {
	Models   *ModelRouter
	Services *ServiceRouter
}

var (
	_ Router = (*CombinedRouter)(nil)
	_ Placer = (*CombinedRouter)(nil)
)

// New returns the routers of a daemon. Each has its own random source, since
// each guards its source with its own lock.
func New(opts Options) *CombinedRouter {
	opts.ensureShared()
	services := opts
	services.Random = rand.New(rand.NewPCG(opts.Random.Uint64(), opts.Random.Uint64()))
	return &CombinedRouter{Models: NewModelRouter(opts), Services: NewServiceRouter(services)}
}

// Choose returns the target for the request's next attempt.
func (c *CombinedRouter) Choose(req *request.Request, constraints *Constraints) (*fleet.TargetState, error) {
	if req.Service != "" {
		return c.Services.Choose(req, constraints)
	}
	return c.Models.Choose(req, constraints)
}

// Place returns where the request's next attempt runs.
func (c *CombinedRouter) Place(req *request.Request, constraints *Constraints) (Placement, error) {
	if req.Service != "" {
		return c.placeCall(req, constraints)
	}
	return c.Models.Place(req, constraints)
}

// PlaceWhole returns the one target that runs the request's next attempt.
func (c *CombinedRouter) PlaceWhole(req *request.Request, constraints *Constraints) (Placement, error) {
	if req.Service != "" {
		return c.placeCall(req, constraints)
	}
	return c.Models.PlaceWhole(req, constraints)
}

// placeCall returns the replica that runs a service call.
func (c *CombinedRouter) placeCall(req *request.Request, constraints *Constraints) (Placement, error) {
	state, err := c.Services.Choose(req, constraints)
	return Placement{Target: state}, err
}

// ChooseDecode returns the engine that generates the answer of a request whose
// prompt was computed by another engine.
func (c *CombinedRouter) ChooseDecode(req *request.Request, constraints *Constraints) (*fleet.TargetState, error) {
	return c.Models.ChooseDecode(req, constraints)
}

// Done records that an attempt has ended.
func (c *CombinedRouter) Done(req *request.Request, target ident.Target) {
	if req.Service != "" {
		c.Services.Done(req, target)
		return
	}
	c.Models.Done(req, target)
}

// ExpectedWait returns the expected wait of the request at the best target, and
// the share of the targets' slots that are in use.
func (c *CombinedRouter) ExpectedWait(req *request.Request) (wait time.Duration, utilization float64) {
	if req.Service != "" {
		return c.Services.ExpectedWait(req)
	}
	return c.Models.ExpectedWait(req)
}

// MinRunTime returns the shortest time that the request would take on any idle
// engine if its answer had the given number of tokens. It is zero for services.
func (c *CombinedRouter) MinRunTime(req *request.Request, output float64) time.Duration {
	if req.Service != "" {
		return 0
	}
	return c.Models.MinRunTime(req, output)
}
