package supplykeeper

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Order requests a number of a model's engines of one kind in one failure
// domain. Count is absolute, so a repeated order changes nothing.
type Order struct {
	Model   ident.Model
	Domain  ident.FailureDomain
	Kind    external.TargetKind
	Count   int
	Fencing ident.FencingToken
}

// Orderer orders engines from the platform.
type Orderer interface {
	// OrderEngines sends one order. It fails with kind Conflict if no engines
	// are available at the moment or the platform has received a higher fencing
	// token, and with Unknown if the order may still be carried out.
	OrderEngines(ctx context.Context, order Order) error
}
