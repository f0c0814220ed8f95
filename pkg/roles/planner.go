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

// pendingLimit is how long a wanted change may go undone before it is dropped.
const pendingLimit = 3 * time.Minute

// Planner wants role changes. It is not safe for concurrent use.
type Planner struct {
	knobs  func(model ident.Model) *config.RoleKnobs
	meter  *demand.Meter
	models map[ident.Model]*plan
}

var _ orders.EnginePlanner = (*Planner)(nil)

// plan is what was decided for one model.
type plan struct {
	// pending are the changes that are wanted and not yet seen.
	pending map[ident.Target]change
	// changed is when each engine's last change was wanted.
	changed map[ident.Target]time.Time
	// asked is the change that the demand asks for, since when it does.
	asked move
	since time.Time
}

// change is one wanted role.
type change struct {
	role fleet.Role
	at   time.Time
}

// NewPlanner returns a planner that has seen nothing.
func NewPlanner(knobs func(model ident.Model) *config.RoleKnobs) *Planner {
	return &Planner{knobs: knobs, meter: demand.NewMeter(), models: make(map[ident.Model]*plan)}
}

// PlanEngines returns the wanted role changes, at most one new one for each
// model.
func (p *Planner) PlanEngines(snapshot *fleet.Snapshot, now time.Time) []orders.Wanted {
	var wanted []orders.Wanted
	for _, model := range snapshot.Models() {
		knobs := p.knobs(model)
		p.meter.Observe(snapshot, now, knobs.Smoothing.D())
		d, ok := p.meter.Of(model)
		if !ok {
			continue
		}
		wanted = append(wanted, p.planModel(snapshot, model, d, knobs, now)...)
	}
	return wanted
}

// planModel returns one model's wanted changes.
func (p *Planner) planModel(snapshot *fleet.Snapshot, model ident.Model, d demand.Demand, knobs *config.RoleKnobs, now time.Time) []orders.Wanted {
	state, ok := p.models[model]
	if !ok {
		state = &plan{pending: make(map[ident.Target]change), changed: make(map[ident.Target]time.Time)}
		p.models[model] = state
	}
	engines := usable(snapshot, model)
	state.settle(snapshot, now)
	if len(state.pending) == 0 {
		state.decide(engines, d, knobs, now)
	}
	return state.wanted(model)
}

// usable returns the engines that stay.
func usable(snapshot *fleet.Snapshot, model ident.Model) []*fleet.TargetState {
	var engines []*fleet.TargetState
	for _, i := range snapshot.Model(model) {
		state := &snapshot.Targets[i]
		if !state.Record.Leaving && state.Load.Sequence > 0 {
			engines = append(engines, state)
		}
	}
	return engines
}

// settle drops the changes that were carried out or can't be any more.
func (s *plan) settle(snapshot *fleet.Snapshot, now time.Time) {
	for name, c := range s.pending {
		state := snapshot.Target(name)
		gone := state == nil || state.Record.Leaving
		if gone || (state.Load.Role == c.role && !state.Draining) || now.Sub(c.at) > pendingLimit {
			delete(s.pending, name)
		}
	}
}

// decide wants one more change where the demand has asked for it long enough.
func (s *plan) decide(engines []*fleet.TargetState, d demand.Demand, knobs *config.RoleKnobs, now time.Time) {
	asked := ask(engines, d, knobs)
	if asked != s.asked {
		s.asked, s.since = asked, now
	}
	if asked == none || now.Sub(s.since) < dwell(knobs) {
		return
	}
	chosen := s.choose(engines, asked.from, knobs, now)
	if chosen == nil {
		return
	}
	s.asked = none
	s.pending[chosen.Record.Target] = change{role: asked.to, at: now}
	s.changed[chosen.Record.Target] = now
}

// choose returns the engine of a role with the least work, or nil. An engine
// that was changed lately, or whose failure domain has another engine of the
// model held, is left.
func (s *plan) choose(engines []*fleet.TargetState, from fleet.Role, knobs *config.RoleKnobs, now time.Time) *fleet.TargetState {
	var best *fleet.TargetState
	for _, state := range engines {
		if roleOf(state) != from || state.Draining || domainHeld(engines, state.Record.FailureDomain) {
			continue
		}
		if at, ok := s.changed[state.Record.Target]; ok && now.Sub(at) < knobs.Interval.D() {
			continue
		}
		if best == nil || state.Load.Running < best.Load.Running {
			best = state
		}
	}
	return best
}

// domainHeld reports whether an engine of a failure domain is held.
func domainHeld(engines []*fleet.TargetState, domain ident.FailureDomain) bool {
	return slices.ContainsFunc(engines, func(e *fleet.TargetState) bool {
		return e.Record.FailureDomain == domain && e.Draining
	})
}

// wanted returns the pending changes as orders, the oldest first.
func (s *plan) wanted(model ident.Model) []orders.Wanted {
	var list []orders.Wanted
	for name, c := range s.pending {
		list = append(list, orders.Wanted{Target: name, Order: target.Order{Kind: target.OrderRole, Role: c.role, Model: model}})
	}
	slices.SortFunc(list, func(a, b orders.Wanted) int {
		return cmp.Or(s.pending[a.Target].at.Compare(s.pending[b.Target].at), cmp.Compare(a.Target, b.Target))
	})
	return list
}

// roleOf returns an engine's role; one that states none is mixed.
func roleOf(state *fleet.TargetState) fleet.Role {
	if state.Load.Role == "" {
		return fleet.Mixed
	}
	return state.Load.Role
}
