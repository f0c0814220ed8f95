package orders

import (
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// Wanted is one order that a planner requests. EngineManager sets its id and
// fencing number.
type Wanted struct {
	Target ident.Target
	Order  target.Order
}
