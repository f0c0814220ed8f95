package roles

import (
	"cmp"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/demand"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/orders"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// pendingTimeout is how long a wanted change may stay pending before it is dropped.
const pendingTimeout = 3 * time.Minute

// Planner plans role changes. It is not safe for concurrent use.
type Planner struct {
	knobs  func(model ident.Model) *config.RoleKnobs
	meter  *demand.Meter
	models map[ident.Model]*modelPlan
}

var _ orders.EnginePlanner = (*Planner)(nil)

// modelPlan is the planning state of one model.
type modelPlan struct {
	// pending holds the wanted changes that have not been observed yet.
	pending map[ident.Target]pendingChange
	// lastChange is when each engine's last change was decided.
	lastChange map[ident.Target]time.Time
	// proposed is the change that fits the present demand. It has been the
	// same since proposedSince.
	proposed      roleChange
	proposedSince time.Time
}

// pendingChange is the wanted role of an engine and when it was decided.
type pendingChange struct {
	role fleet.Role
	at   time.Time
}

// NewPlanner returns a planner that has not observed any demand yet.
func NewPlanner(knobs func(model ident.Model) *config.RoleKnobs) *Planner {
	return &Planner{knobs: knobs, meter: demand.NewMeter(), models: make(map[ident.Model]*modelPlan)}
}

// PlanEngines returns the wanted role changes. A model gets a new change only
// when none of its changes is pending.
func (p *Planner) PlanEngines(snapshot *fleet.Snapshot, now time.Time) []orders.PlannedOrder {
	var wanted []orders.PlannedOrder
	for _, model := range snapshot.Models() {
		knobs := p.knobs(model)
		p.meter.Observe(snapshot, now, knobs.Smoothing.D())
		d, ok := p.meter.Demand(model)
		if !ok {
			continue
		}
		wanted = append(wanted, p.planModel(snapshot, model, d, knobs, now)...)
	}
	return wanted
}

// planModel returns the wanted changes of one model.
func (p *Planner) planModel(snapshot *fleet.Snapshot, model ident.Model, d demand.Demand, knobs *config.RoleKnobs, now time.Time) []orders.PlannedOrder {
	plan, ok := p.models[model]
	if !ok {
		plan = &modelPlan{pending: make(map[ident.Target]pendingChange), lastChange: make(map[ident.Target]time.Time)}
		p.models[model] = plan
	}
	engines := usableEngines(snapshot, model)
	plan.prunePending(snapshot, now)
	if len(plan.pending) == 0 {
		plan.decide(engines, d, knobs, now)
	}
	return plan.pendingOrders(model)
}

// usableEngines returns a model's engines that have reported and are not leaving.
func usableEngines(snapshot *fleet.Snapshot, model ident.Model) []*fleet.TargetState {
	var engines []*fleet.TargetState
	for _, i := range snapshot.Model(model) {
		state := &snapshot.Targets[i]
		if !state.Record.Leaving && state.Load.Sequence > 0 {
			engines = append(engines, state)
		}
	}
	return engines
}

// prunePending drops the changes that are done, have timed out or whose target is
// gone or leaving.
func (p *modelPlan) prunePending(snapshot *fleet.Snapshot, now time.Time) {
	for name, c := range p.pending {
		state := snapshot.Target(name)
		gone := state == nil || state.Record.Leaving
		if gone || (state.Load.Role == c.role && !state.Draining) || now.Sub(c.at) > pendingTimeout {
			delete(p.pending, name)
		}
	}
}

// decide adds one pending change once it has been proposed for dwellTime.
func (p *modelPlan) decide(engines []*fleet.TargetState, d demand.Demand, knobs *config.RoleKnobs, now time.Time) {
	proposed := proposeChange(engines, d, knobs)
	if proposed != p.proposed {
		p.proposed, p.proposedSince = proposed, now
	}
	if proposed == noChange || now.Sub(p.proposedSince) < dwellTime(knobs) {
		return
	}
	chosen := p.choose(engines, proposed.from, knobs, now)
	if chosen == nil {
		return
	}
	p.proposed = noChange
	p.pending[chosen.Record.Target] = pendingChange{role: proposed.to, at: now}
	p.lastChange[chosen.Record.Target] = now
}

// choose returns the engine of a role with the fewest running requests, or nil.
// It skips engines that were changed within the last Interval, that drain, or
// whose failure domain has a draining engine of the same model.
func (p *modelPlan) choose(engines []*fleet.TargetState, from fleet.Role, knobs *config.RoleKnobs, now time.Time) *fleet.TargetState {
	var best *fleet.TargetState
	for _, state := range engines {
		if roleOf(state) != from || state.Draining || domainDraining(engines, state.Record.FailureDomain) {
			continue
		}
		if at, ok := p.lastChange[state.Record.Target]; ok && now.Sub(at) < knobs.Interval.D() {
			continue
		}
		if best == nil || state.Load.Running < best.Load.Running {
			best = state
		}
	}
	return best
}

// domainDraining reports whether any of the engines in a failure domain drains.
func domainDraining(engines []*fleet.TargetState, domain ident.FailureDomain) bool {
	return slices.ContainsFunc(engines, func(e *fleet.TargetState) bool {
		return e.Record.FailureDomain == domain && e.Draining
	})
}

// pendingOrders returns the pending changes as orders, the oldest first.
func (p *modelPlan) pendingOrders(model ident.Model) []orders.PlannedOrder {
	var list []orders.PlannedOrder
	for name, c := range p.pending {
		list = append(list, orders.PlannedOrder{Target: name, Order: target.Order{Kind: target.OrderRole, Role: c.role, Model: model}})
	}
	slices.SortFunc(list, func(a, b orders.PlannedOrder) int {
		return cmp.Or(p.pending[a.Target].at.Compare(p.pending[b.Target].at), cmp.Compare(a.Target, b.Target))
	})
	return list
}

// roleOf returns an engine's role; an engine that reports none counts as mixed.
func roleOf(state *fleet.TargetState) fleet.Role {
	if state.Load.Role == "" {
		return fleet.Mixed
	}
	return state.Load.Role
}
