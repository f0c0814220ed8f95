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

// reportMaxAge is how old an engine's report may be for it to count as there.
const reportMaxAge = 5 * time.Second

// Planner wants engines to load versions. At most a share of a model's engines
// is away at once, and those that are away for it are in one failure domain.
type Planner struct {
	// Version returns the version that a model's engines are to load; empty
	// means whatever they have.
	Version func(model ident.Model) string
	Knobs   func(model ident.Model) *config.RoleKnobs
}

var _ orders.EnginePlanner = (*Planner)(nil)

// PlanEngines returns the loads that are wanted now, those under way first.
func (p *Planner) PlanEngines(snapshot *fleet.Snapshot, now time.Time) []orders.Wanted {
	var wanted []orders.Wanted
	for _, model := range snapshot.Models() {
		version := p.Version(model)
		if version == "" {
			continue
		}
		for _, engine := range p.pick(enginesOf(snapshot, model), version, p.Knobs(model).RolloutShare, now) {
			order := target.Order{Kind: target.OrderLoad, Model: model, Version: version}
			wanted = append(wanted, orders.Wanted{Target: engine.Record.Target, Order: order})
		}
	}
	return wanted
}

// pick returns the engines that may load now.
func (p *Planner) pick(engines []*fleet.TargetState, version string, share float64, now time.Time) []*fleet.TargetState {
	var outdated []*fleet.TargetState
	away := 0
	for _, engine := range engines {
		missing := engine.Draining || now.Sub(engine.LoadAt) > reportMaxAge
		if missing {
			away++
		}
		if engine.Load.Sequence > 0 && engine.Load.Version != version {
			outdated = append(outdated, engine)
		}
	}
	sortByProgress(outdated)
	room := max(1, int(share*float64(len(engines)))) - away
	var picked []*fleet.TargetState
	for _, engine := range outdated {
		if len(picked) > 0 && engine.Record.FailureDomain != picked[0].Record.FailureDomain {
			break
		}
		if !engine.Draining {
			if room <= 0 {
				continue
			}
			room--
		}
		picked = append(picked, engine)
	}
	return picked
}

// enginesOf returns a model's engines that stay.
func enginesOf(snapshot *fleet.Snapshot, model ident.Model) []*fleet.TargetState {
	var engines []*fleet.TargetState
	for _, i := range snapshot.Model(model) {
		if state := &snapshot.Targets[i]; !state.Record.Leaving {
			engines = append(engines, state)
		}
	}
	return engines
}

// sortByProgress puts the engines that are held already first, and the rest by
// failure domain and name.
func sortByProgress(engines []*fleet.TargetState) {
	slices.SortFunc(engines, func(a, b *fleet.TargetState) int {
		return cmp.Or(
			cmp.Compare(heldRank(a), heldRank(b)),
			cmp.Compare(a.Record.FailureDomain, b.Record.FailureDomain),
			cmp.Compare(a.Record.Target, b.Record.Target),
		)
	})
}

// heldRank is zero for engines that are held.
func heldRank(engine *fleet.TargetState) int {
	if engine.Draining {
		return 0
	}
	return 1
}
