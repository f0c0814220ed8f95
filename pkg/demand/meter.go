package demand

import (
	"math"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Meter keeps a moving average of each model's demand. It is not safe for
// concurrent use.
type Meter struct {
	last   map[ident.Target]fleet.LoadReport
	models map[ident.Model]*smoothed
}

// smoothed is a moving average of demand.
type smoothed struct {
	demand    Demand
	updatedAt time.Time
}

// NewMeter returns a meter without observations.
func NewMeter() *Meter {
	return &Meter{last: make(map[ident.Target]fleet.LoadReport), models: make(map[ident.Model]*smoothed)}
}

// Observe adds the reports of a snapshot. The time constant of the average is
// smoothing. An engine that has reported before but has no usable new report
// counts with the mean demand of its model's other engines.
func (m *Meter) Observe(snapshot *fleet.Snapshot, now time.Time, smoothing time.Duration) {
	sums, updated := make(map[ident.Model]Demand), make(map[ident.Model]int)
	for i := range snapshot.Targets {
		state := &snapshot.Targets[i]
		if state.Record.Service != "" || state.Load.Sequence == 0 {
			continue
		}
		part, ok := m.engineDemand(&state.Load)
		if !ok {
			continue
		}
		sum := sums[state.Record.Model]
		sum.Prefill += part.Prefill
		sum.Decode += part.Decode
		sum.Deferrable += part.Deferrable
		sums[state.Record.Model] = sum
		updated[state.Record.Model]++
	}
	for model, sum := range sums {
		scale := float64(reportingEngines(snapshot, model)) / float64(updated[model])
		m.smooth(model, sum, scale, now, smoothing)
	}
	m.forget(snapshot)
}

// reportingEngines counts the engines of a model that have reported.
func reportingEngines(snapshot *fleet.Snapshot, model ident.Model) int {
	n := 0
	for _, i := range snapshot.Model(model) {
		if snapshot.Targets[i].Load.Sequence > 0 {
			n++
		}
	}
	return n
}

// engineDemand returns the demand at one engine between its last two reports.
// It returns false if there is no new report, if there is no earlier one of the
// same incarnation to compare it with, or if the report has no rates or slots.
func (m *Meter) engineDemand(load *fleet.LoadReport) (Demand, bool) {
	before, ok := m.last[load.Target]
	if ok && before.Incarnation == load.Incarnation && before.Sequence == load.Sequence {
		return Demand{}, false
	}
	m.last[load.Target] = *load
	elapsed := load.TakenAt.Sub(before.TakenAt).Seconds()
	if !ok || before.Incarnation != load.Incarnation || elapsed <= 0 || load.PrefillRate <= 0 || load.DecodeRate <= 0 || load.Slots <= 0 {
		return Demand{}, false
	}
	prefill := 1 / (load.PrefillRate * elapsed)
	decode := 1 / (load.DecodeRate * float64(load.Slots) * elapsed)
	return Demand{
		Prefill: prefill * increase(before.ComputedTokens, load.ComputedTokens),
		Decode:  decode * increase(before.GeneratedTokens, load.GeneratedTokens),
		Deferrable: prefill*increase(before.DeferrableComputed, load.DeferrableComputed) +
			decode*increase(before.DeferrableGenerated, load.DeferrableGenerated),
	}, true
}

// increase returns how much a counter increased; zero if it decreased.
func increase(before, after uint64) float64 {
	if after <= before {
		return 0
	}
	return float64(after - before)
}

// smooth updates a model's average with the new value sum*scale. The first value
// is taken as is.
func (m *Meter) smooth(model ident.Model, sum Demand, scale float64, now time.Time, smoothing time.Duration) {
	mean, ok := m.models[model]
	if !ok {
		m.models[model] = new(smoothed)
		mean = m.models[model]
	}
	weight := 1.0
	if ok && smoothing > 0 {
		weight = 1 - math.Exp(-now.Sub(mean.updatedAt).Seconds()/smoothing.Seconds())
	}
	mean.updatedAt = now
	mean.demand.Prefill += (sum.Prefill*scale - mean.demand.Prefill) * weight
	mean.demand.Decode += (sum.Decode*scale - mean.demand.Decode) * weight
	mean.demand.Deferrable += (sum.Deferrable*scale - mean.demand.Deferrable) * weight
}

// forget drops the last reports of removed targets.
func (m *Meter) forget(snapshot *fleet.Snapshot) {
	if len(m.last) <= 2*len(snapshot.Targets) {
		return
	}
	for name := range m.last {
		if snapshot.Target(name) == nil {
			delete(m.last, name)
		}
	}
}

// Demand returns a model's demand, or false if there are no observations.
func (m *Meter) Demand(model ident.Model) (Demand, bool) {
	mean, ok := m.models[model]
	if !ok {
		return Demand{}, false
	}
	return mean.demand, true
}
