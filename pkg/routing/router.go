package routing

import (
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Router chooses targets and keeps count of its own sends.
type Router interface {
	// Choose returns the target for the next attempt of a request, leaving
	// out those that earlier attempts failed on. It fails with kind
	// Unavailable where no target may take the request.
	Choose(req *request.Request, exclude []ident.Target) (*fleet.TargetState, error)
	// Done tells that an attempt which Choose placed has ended.
	Done(req *request.Request, target ident.Target)
}
