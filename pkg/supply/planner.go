package supply

import (
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/demand"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/orders"
)

// Planner plans the counts of targets. It is not safe for concurrent use.
type Planner struct {
	opts   Options
	meter  *demand.Meter
	models map[ident.Model]*modelPlan
}

// Options are the settings of a Planner.
type Options struct {
	// Domains are the failure domains that targets can be ordered in. Their
	// order must not change.
	Domains []ident.FailureDomain
	Knobs   func(model ident.Model) *config.SupplyKnobs
}

var _ orders.SupplyPlanner = (*Planner)(nil)

// modelPlan is the planning state of one model.
type modelPlan struct {
	need Need
	// lowerSince is when the need of the present demand fell below the need in
	// force; zero if it is not below it.
	lowerSince time.Time
	// domains has the state of each failure domain, in the order of
	// Options.Domains.
	domains []domainPlan
}

// domainPlan is the planning state of one model in one failure domain.
type domainPlan struct {
	// ordered is the reclaimable count that was ordered last.
	ordered int
	// missingSince is when the number of reclaimable targets fell below the
	// number ordered; zero if none are missing.
	missingSince time.Time
	// barredUntil is the time until which no reclaimable targets are ordered in
	// the failure domain.
	barredUntil time.Time
}

// NewPlanner returns a planner without any observations.
func NewPlanner(opts Options) *Planner {
	return &Planner{opts: opts, meter: demand.NewMeter(), models: make(map[ident.Model]*modelPlan)}
}

// PlanSupply returns the desired counts of every model with a known demand, for
// each failure domain and kind.
func (p *Planner) PlanSupply(snapshot *fleet.Snapshot, now time.Time) []external.TargetOrder {
	var list []external.TargetOrder
	for _, model := range snapshot.Models() {
		knobs := p.opts.Knobs(model)
		p.meter.Observe(snapshot, now, knobs.Smoothing.D())
		if d, ok := p.meter.Demand(model); ok {
			list = append(list, p.planModel(snapshot, model, d, knobs, now)...)
		}
	}
	return list
}

// planModel returns one model's desired counts.
func (p *Planner) planModel(snapshot *fleet.Snapshot, model ident.Model, d demand.Demand, knobs *config.SupplyKnobs, now time.Time) []external.TargetOrder {
	plan, ok := p.models[model]
	if !ok {
		plan = &modelPlan{domains: make([]domainPlan, len(p.opts.Domains))}
		plan.need = currentNeed(snapshot, model)
		p.models[model] = plan
	}
	plan.update(needOf(d.Interactive(), d.Total(), knobs), knobs, now)
	usable := p.usableDomains(plan, snapshot, model, knobs, now)
	mix := CheapestMix(plan.need.atMost(len(snapshot.Model(model))+int(knobs.LoadsAtOnce)), len(usable), knobs)
	var list []external.TargetOrder
	for i, domain := range p.opts.Domains {
		reclaimable := 0
		if position := slices.Index(usable, i); position >= 0 {
			reclaimable = spreadShare(mix.Reclaimable, len(usable), position, 0)
		}
		plan.domains[i].ordered = reclaimable
		first := mix.Reclaimable % max(1, len(usable))
		dependable := spreadShare(mix.Dependable, len(p.opts.Domains), i, first)
		list = append(list,
			external.TargetOrder{FailureDomain: domain, Model: model, Kind: external.Dependable, DesiredCount: dependable},
			external.TargetOrder{FailureDomain: domain, Model: model, Kind: external.Reclaimable, DesiredCount: reclaimable})
	}
	return list
}

// currentNeed returns the need that the present targets meet. Planning starts
// from it.
func currentNeed(snapshot *fleet.Snapshot, model ident.Model) Need {
	n := len(snapshot.Model(model))
	return Need{Interactive: n, Total: n}
}

// update applies a new need: a greater one at once, a smaller one after it has
// lasted for ShrinkDelay.
func (p *modelPlan) update(need Need, knobs *config.SupplyKnobs, now time.Time) {
	if need.Total >= p.need.Total && need.Interactive >= p.need.Interactive {
		p.need, p.lowerSince = need, time.Time{}
		return
	}
	grown := Need{Interactive: max(need.Interactive, p.need.Interactive), Total: max(need.Total, p.need.Total)}
	if p.lowerSince.IsZero() {
		p.lowerSince = now
	}
	if now.Sub(p.lowerSince) >= knobs.ShrinkDelay.D() {
		grown = need
		p.lowerSince = time.Time{}
	}
	p.need = grown
}

// usableDomains returns the positions of the failure domains in which reclaimable
// targets can be relied on. A domain is excluded for BarredFor if its ordered
// targets do not arrive within MissingAfter, or if the platform reclaims targets
// that are still ordered.
func (p *Planner) usableDomains(plan *modelPlan, snapshot *fleet.Snapshot, model ident.Model, knobs *config.SupplyKnobs, now time.Time) []int {
	var usable []int
	for i, domain := range p.opts.Domains {
		state := &plan.domains[i]
		count, leaving := reclaimableIn(snapshot, model, domain)
		switch {
		case leaving && count < state.ordered:
			state.barredUntil = now.Add(knobs.BarredFor.D())
		case count >= state.ordered:
			state.missingSince = time.Time{}
		case state.missingSince.IsZero():
			state.missingSince = now
		case now.Sub(state.missingSince) >= knobs.MissingAfter.D():
			state.barredUntil, state.missingSince = now.Add(knobs.BarredFor.D()), time.Time{}
		}
		if !now.Before(state.barredUntil) {
			usable = append(usable, i)
		}
	}
	return usable
}

// reclaimableIn counts a model's reclaimable targets in a failure domain that are
// not leaving, and reports whether any are leaving.
func reclaimableIn(snapshot *fleet.Snapshot, model ident.Model, domain ident.FailureDomain) (count int, leaving bool) {
	for _, i := range snapshot.Model(model) {
		record := &snapshot.Targets[i].Record
		if record.FailureDomain != domain || record.Kind != external.Reclaimable {
			continue
		}
		if record.Leaving {
			leaving = true
			continue
		}
		count++
	}
	return count, leaving
}
