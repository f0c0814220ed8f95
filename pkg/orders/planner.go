package orders

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
)

// EnginePlanner decides which orders engines should get. It is a pure function
// of its arguments and of what it was told before.
type EnginePlanner interface {
	// PlanEngines returns the orders wanted now, the most urgent first.
	PlanEngines(snapshot *fleet.Snapshot, now time.Time) []Wanted
}

// SupplyPlanner decides how many targets to hold in each failure domain.
type SupplyPlanner interface {
	// PlanSupply returns the whole wanted counts. The executor sets the
	// orders' ids and fencing numbers.
	PlanSupply(snapshot *fleet.Snapshot, now time.Time) []external.TargetOrder
}
