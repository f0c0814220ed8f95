package orders

import (
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// PlannedOrder is one order that a planner requests. EngineManager sets its ID and
// fencing token.
type PlannedOrder struct {
	Target ident.Target
	Order  target.Order
}
