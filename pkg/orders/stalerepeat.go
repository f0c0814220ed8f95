package orders

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// repeatAfter is how long a completed order is not issued again while the view
// of its target does not show it yet.
const repeatAfter = 30 * time.Second

// isStaleRepeat reports whether an order has the content of a recently completed
// one that the view of the target does not show yet.
func isStaleRepeat(last Record, order target.Order, state *fleet.TargetState, now time.Time) bool {
	if last.Phase != PhaseDone || !sameContent(last.Order, order) {
		return false
	}
	return state.Load.OrderID != last.Order.OrderID && now.Sub(last.WrittenAt) < repeatAfter
}
