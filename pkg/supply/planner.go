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

// Planner wants counts of targets. It is not safe for concurrent use.
type Planner struct {
	opts   Options
	meter  *demand.Meter
	models map[ident.Model]*plan
}

// Options are what a Planner needs.
type Options struct {
	// Domains are the failure domains that targets can be ordered in, in a
	// fixed order.
	Domains []ident.FailureDomain
	Knobs   func(model ident.Model) *config.SupplyKnobs
}

var _ orders.SupplyPlanner = (*Planner)(nil)

// plan is what was decided for one model.
type plan struct {
	need Need
	// lower is when the need first fell below the one in force.
	lower time.Time
	// places are the failure domains' orders, as in Options.Domains.
	places []place
}

// place is one failure domain of a model.
type place struct {
	// wanted is the reclaimable count that was ordered last.
	wanted int
	// missing is when fewer were there than ordered, without an end since.
	missing time.Time
	// barred is until when no reclaimable targets are counted on.
	barred time.Time
}

// NewPlanner returns a planner that has seen nothing.
func NewPlanner(opts Options) *Planner {
	return &Planner{opts: opts, meter: demand.NewMeter(), models: make(map[ident.Model]*plan)}
}

// PlanSupply returns the wanted counts of every model with a known demand, for
// each failure domain and kind.
func (p *Planner) PlanSupply(snapshot *fleet.Snapshot, now time.Time) []external.TargetOrder {
	var list []external.TargetOrder
	for _, model := range snapshot.Models() {
		knobs := p.opts.Knobs(model)
		p.meter.Observe(snapshot, now, knobs.Smoothing.D())
		if d, ok := p.meter.Of(model); ok {
			list = append(list, p.planModel(snapshot, model, d, knobs, now)...)
		}
	}
	return list
}

// planModel returns one model's wanted counts.
func (p *Planner) planModel(snapshot *fleet.Snapshot, model ident.Model, d demand.Demand, knobs *config.SupplyKnobs, now time.Time) []external.TargetOrder {
	state, ok := p.models[model]
	if !ok {
		state = &plan{places: make([]place, len(p.opts.Domains))}
		state.need = present(snapshot, model)
		p.models[model] = state
	}
	state.update(needOf(d.Interactive(), d.Total(), knobs), knobs, now)
	usable := p.look(state, snapshot, model, knobs, now)
	mix := Choose(state.need.atMost(len(snapshot.Model(model))+int(knobs.LoadsAtOnce)), len(usable), knobs)
	var list []external.TargetOrder
	for i, domain := range p.opts.Domains {
		reclaimable := 0
		if at := slices.Index(usable, i); at >= 0 {
			reclaimable = spread(mix.Reclaimable, len(usable), at, 0)
		}
		state.places[i].wanted = reclaimable
		first := mix.Reclaimable % max(1, len(usable))
		dependable := spread(mix.Dependable, len(p.opts.Domains), i, first)
		list = append(list,
			external.TargetOrder{FailureDomain: domain, Model: model, Kind: external.Dependable, Wanted: dependable},
			external.TargetOrder{FailureDomain: domain, Model: model, Kind: external.Reclaimable, Wanted: reclaimable})
	}
	return list
}

// present is the need that the targets at hand carry; planning starts there.
func present(snapshot *fleet.Snapshot, model ident.Model) Need {
	n := len(snapshot.Model(model))
	return Need{Interactive: n, Total: n}
}

// update takes a new need in: a greater one at once, a smaller one after it
// has lasted.
func (s *plan) update(need Need, knobs *config.SupplyKnobs, now time.Time) {
	if need.Total >= s.need.Total && need.Interactive >= s.need.Interactive {
		s.need, s.lower = need, time.Time{}
		return
	}
	grown := Need{Interactive: max(need.Interactive, s.need.Interactive), Total: max(need.Total, s.need.Total)}
	if s.lower.IsZero() {
		s.lower = now
	}
	if now.Sub(s.lower) >= knobs.ShrinkDelay.D() {
		grown = need
		s.lower = time.Time{}
	}
	s.need = grown
}

// look finds the failure domains in which reclaimable targets can be counted
// on, by their positions. One whose ordered targets stay away, or are being
// taken back against the last order, is left out for a while.
func (p *Planner) look(s *plan, snapshot *fleet.Snapshot, model ident.Model, knobs *config.SupplyKnobs, now time.Time) []int {
	var usable []int
	for i, domain := range p.opts.Domains {
		at := &s.places[i]
		here, leaving := reclaimableIn(snapshot, model, domain)
		switch {
		case leaving && here < at.wanted:
			at.barred = now.Add(knobs.BarredFor.D())
		case here >= at.wanted:
			at.missing = time.Time{}
		case at.missing.IsZero():
			at.missing = now
		case now.Sub(at.missing) >= knobs.MissingAfter.D():
			at.barred, at.missing = now.Add(knobs.BarredFor.D()), time.Time{}
		}
		if !now.Before(at.barred) {
			usable = append(usable, i)
		}
	}
	return usable
}

// reclaimableIn counts a failure domain's reclaimable targets of a model, and
// tells whether some are leaving at short notice.
func reclaimableIn(snapshot *fleet.Snapshot, model ident.Model, domain ident.FailureDomain) (here int, leaving bool) {
	for _, i := range snapshot.Model(model) {
		record := &snapshot.Targets[i].Record
		if record.FailureDomain != domain || record.Kind != external.Reclaimable {
			continue
		}
		if record.Leaving {
			leaving = true
			continue
		}
		here++
	}
	return here, leaving
}
