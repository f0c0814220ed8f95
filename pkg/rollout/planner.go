package rollout

import (
	"cmp"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/orders"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// reportMaxAge is the greatest age of a load report at which its engine counts as
// available.
const reportMaxAge = 5 * time.Second

// Planner plans version rollouts. No engine starts to load while RolloutShare of
// its model's engines, or one engine if that is more, is unavailable. The engines
// that load at the same time are in one failure domain.
type Planner struct {
	// Version returns the version that a model's engines must load. If it is
	// empty, they keep the version that they have.
	Version func(model ident.Model) string
	Knobs   func(model ident.Model) *config.RoleKnobs
}

var _ orders.EnginePlanner = (*Planner)(nil)

// PlanEngines returns the load orders that are wanted now. For each model, those
// already in progress come first.
func (p *Planner) PlanEngines(snapshot *fleet.Snapshot, now time.Time) []orders.PlannedOrder {
	var wanted []orders.PlannedOrder
	for _, model := range snapshot.Models() {
		version := p.Version(model)
		if version == "" {
			continue
		}
		for _, engine := range p.selectEngines(enginesOf(snapshot, model), version, p.Knobs(model).RolloutShare, now) {
			order := target.Order{Kind: target.OrderLoad, Model: model, Version: version}
			wanted = append(wanted, orders.PlannedOrder{Target: engine.Record.Target, Order: order})
		}
	}
	return wanted
}

// selectEngines returns the engines that should load the version now: outdated
// engines that already drain and as many others as the share allows, all in one
// failure domain.
func (p *Planner) selectEngines(engines []*fleet.TargetState, version string, share float64, now time.Time) []*fleet.TargetState {
	var outdated []*fleet.TargetState
	unavailableCount := 0
	for _, engine := range engines {
		unavailable := engine.Draining || now.Sub(engine.LoadAt) > reportMaxAge
		if unavailable {
			unavailableCount++
		}
		if engine.Load.Sequence > 0 && engine.Load.Version != version {
			outdated = append(outdated, engine)
		}
	}
	sortByProgress(outdated)
	budget := max(1, int(share*float64(len(engines)))) - unavailableCount
	var selected []*fleet.TargetState
	for _, engine := range outdated {
		if len(selected) > 0 && engine.Record.FailureDomain != selected[0].Record.FailureDomain {
			break
		}
		if !engine.Draining {
			if budget <= 0 {
				continue
			}
			budget--
		}
		selected = append(selected, engine)
	}
	return selected
}

// enginesOf returns a model's engines that are not leaving.
func enginesOf(snapshot *fleet.Snapshot, model ident.Model) []*fleet.TargetState {
	var engines []*fleet.TargetState
	for _, i := range snapshot.Model(model) {
		if state := &snapshot.Targets[i]; !state.Record.Leaving {
			engines = append(engines, state)
		}
	}
	return engines
}

// sortByProgress sorts draining engines first, then by failure domain and name.
func sortByProgress(engines []*fleet.TargetState) {
	slices.SortFunc(engines, func(a, b *fleet.TargetState) int {
		return cmp.Or(
			cmp.Compare(drainingFirst(a), drainingFirst(b)),
			cmp.Compare(a.Record.FailureDomain, b.Record.FailureDomain),
			cmp.Compare(a.Record.Target, b.Record.Target),
		)
	})
}

// drainingFirst returns a sort key that puts draining engines before others.
func drainingFirst(engine *fleet.TargetState) int {
	if engine.Draining {
		return 0
	}
	return 1
}
