package orders

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Planners asks several planners in the order of their precedence. A later one
// is heard of a model only while the earlier ones want nothing of its engines.
type Planners []EnginePlanner

var _ EnginePlanner = Planners(nil)

// PlanEngines returns the wanted orders.
func (p Planners) PlanEngines(snapshot *fleet.Snapshot, now time.Time) []Wanted {
	var all []Wanted
	taken := make(map[ident.Model]bool)
	for _, planner := range p {
		list := planner.PlanEngines(snapshot, now)
		busy := make(map[ident.Model]bool)
		for _, w := range list {
			model := modelOf(snapshot, w.Target)
			if taken[model] {
				continue
			}
			busy[model] = true
			all = append(all, w)
		}
		for model := range busy {
			taken[model] = true
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
