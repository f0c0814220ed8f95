package rolekeeper

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Order requests a change of one engine's role.
type Order struct {
	Target  external.TargetRecord
	Role    fleet.Role
	Fencing ident.FencingToken
	// After is how many orders the engine must have accepted before this one. An
	// order that arrives late finds a different number and has no effect.
	After uint64
}

// Orderer sends orders to engines.
type Orderer interface {
	// Order sends one order. It fails with kind Conflict if the engine has
	// accepted a different number of orders or is carrying one out, Fenced if it
	// has received a higher fencing token, and Unknown if the order may have
	// arrived.
	Order(ctx context.Context, order Order) error
	// AcceptedOrders returns how many orders an engine has accepted.
	AcceptedOrders(ctx context.Context, target external.TargetRecord) (uint64, error)
}
