package routing

import (
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Router chooses targets and counts the requests that it placed.
type Router interface {
	// Choose returns the target for the next attempt of a request, which the
	// constraints allow. It returns a fault of kind Unavailable if no target can take
	// the request.
	Choose(req *request.Request, constraints *Constraints) (*fleet.TargetState, error)
	// Done records that an attempt which Choose placed has ended.
	Done(req *request.Request, target ident.Target)
}
