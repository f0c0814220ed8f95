package orders

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Planners combines several planners in descending precedence. The orders of a
// planner for a model's engines are ignored while an earlier planner requests any
// for that model.
type Planners []EnginePlanner

var _ EnginePlanner = Planners(nil)

// PlanEngines returns the orders of all planners by precedence.
func (p Planners) PlanEngines(snapshot *fleet.Snapshot, now time.Time) []PlannedOrder {
	var all []PlannedOrder
	claimed := make(map[ident.Model]bool)
	for _, planner := range p {
		list := planner.PlanEngines(snapshot, now)
		requested := make(map[ident.Model]bool)
		for _, item := range list {
			model := modelOf(snapshot, item.Target)
			if claimed[model] {
				continue
			}
			requested[model] = true
			all = append(all, item)
		}
		for model := range requested {
			claimed[model] = true
		}
	}
	return all
}

// modelOf returns the model of a target's engine.
func modelOf(snapshot *fleet.Snapshot, name ident.Target) ident.Model {
	state := snapshot.Target(name)
	if state == nil {
		return ""
	}
	return state.Record.Model
}
