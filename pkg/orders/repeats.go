package orders

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// repeatAfter is how long an order that was carried out is not ordered again
// while the view of its target is older than it.
const repeatAfter = 30 * time.Second

// repeats reports whether an order says again what was carried out just now and
// what the view of the target does not show yet.
func repeats(last Record, order target.Order, state *fleet.TargetState, now time.Time) bool {
	if last.Phase != PhaseDone || !sameContent(last.Order, order) {
		return false
	}
	return state.Load.OrderID != last.Order.OrderID && now.Sub(last.WrittenAt) < repeatAfter
}
