package orders

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
)

// EnginePlanner decides which orders to send to engines. Its decisions depend only
// on the arguments of this call and of earlier ones.
type EnginePlanner interface {
	// PlanEngines returns the orders that are due now, most urgent first.
	PlanEngines(snapshot *fleet.Snapshot, now time.Time) []PlannedOrder
}

// SupplyPlanner decides how many targets to run in each failure domain.
type SupplyPlanner interface {
	// PlanSupply returns orders with the absolute desired counts. SupplyManager
	// sets their IDs and fencing tokens.
	PlanSupply(snapshot *fleet.Snapshot, now time.Time) []external.TargetOrder
}
