package supplykeeper

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Order asks for a number of a model's engines of one kind in one failure
// domain. Count is absolute, so a repeated order changes nothing.
type Order struct {
	Model   ident.Model
	Domain  ident.FailureDomain
	Kind    external.TargetKind
	Count   int
	Fencing ident.Fencing
}

// Orderer orders engines from the platform.
type Orderer interface {
	// OrderEngines sends one order. It fails with kind Conflict if no engines
	// are available at the moment or a higher fencing number was seen, and with
	// Unknown if the order may still be carried out.
	OrderEngines(ctx context.Context, order Order) error
}
