package roles

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/demand"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

// fakeFleet simulates engines that report a given demand and start to carry out
// role orders immediately.
type fakeFleet struct {
	knobs   config.RoleKnobs
	planner *Planner
	states  []fleet.TargetState
	now     time.Time
	changes []time.Time
	// drainingUntil is when each engine that changes its role stops draining.
	drainingUntil map[ident.Target]time.Time
	t             *testing.T
}

func newFakeFleet(t *testing.T, engines int) *fakeFleet {
	f := &fakeFleet{t: t, knobs: config.BuiltinKnobs().Roles, now: time.Unix(1e9, 0), drainingUntil: map[ident.Target]time.Time{}}
	f.knobs.MixedShare = 0.5
	f.planner = NewPlanner(func(ident.Model) *config.RoleKnobs { return &f.knobs })
	for i := range engines {
		name := ident.Target(fmt.Sprintf("e%02d", i))
		f.states = append(f.states, fleet.TargetState{
			Record: external.TargetRecord{Target: name, Model: "m", FailureDomain: ident.FailureDomain(fmt.Sprint(i % 4))},
			Load:   fleet.LoadReport{Target: name, Incarnation: 1, Role: fleet.Mixed, Slots: 32, PrefillRate: 20000, DecodeRate: 30},
		})
	}
	return f
}

// run has the engines report a demand every second and applies the planner's
// orders.
func (f *fakeFleet) run(seconds int, d demand.Demand) {
	for range seconds {
		f.now = f.now.Add(time.Second)
		for i := range f.states {
			load := &f.states[i].Load
			load.Sequence++
			load.TakenAt = f.now
			load.ComputedTokens += uint64(d.Prefill / float64(len(f.states)) * load.PrefillRate)
			load.GeneratedTokens += uint64(d.Decode / float64(len(f.states)) * load.DecodeRate * float64(load.Slots))
			if until, ok := f.drainingUntil[load.Target]; ok && f.now.After(until) {
				f.states[i].Draining = false
				delete(f.drainingUntil, load.Target)
			}
		}
		f.applyChanges()
	}
}

// applyChanges starts the wanted changes and checks that no two engines in one
// failure domain change at the same time.
func (f *fakeFleet) applyChanges() {
	snapshot := fleet.NewSnapshot(append([]fleet.TargetState(nil), f.states...))
	for _, w := range f.planner.PlanEngines(snapshot, f.now) {
		for i := range f.states {
			state := &f.states[i]
			if state.Record.Target != w.Target || state.Draining || state.Load.Role == w.Order.Role {
				continue
			}
			for name := range f.drainingUntil {
				must.NotEq(f.t, snapshot.Target(name).Record.FailureDomain, state.Record.FailureDomain)
			}
			f.changes = append(f.changes, f.now)
			state.Draining, state.Load.Role = true, w.Order.Role
			f.drainingUntil[w.Target] = f.now.Add(10 * time.Second)
		}
	}
}

func TestConstantDemandReachesFixedRoles(t *testing.T) {
	f := newFakeFleet(t, 12)
	f.run(2400, demand.Demand{Prefill: 4, Decode: 5})
	settled := len(f.changes)
	must.Positive(t, settled)
	f.run(3600, demand.Demand{Prefill: 4, Decode: 5})
	must.Eq(t, settled, len(f.changes))
}

// countChanges returns the number of role changes during a demand swing of 240 s
// to the other role and back, and during a blip of 18 s.
func countChanges(t *testing.T, change func(*config.RoleKnobs)) (swing, blip int) {
	low, high := demand.Demand{Prefill: 1, Decode: 6}, demand.Demand{Prefill: 5, Decode: 2}
	f := newFakeFleet(t, 12)
	change(&f.knobs)
	f.run(2400, low)
	before := len(f.changes)
	f.run(18, high)
	f.run(120, low)
	blip = len(f.changes) - before
	before = len(f.changes)
	for step := range 240 {
		part := 1 - float64(max(step-120, 120-step))/120
		f.run(1, demand.Demand{Prefill: 1 + 4*part, Decode: 6 - 4*part})
	}
	f.run(60, low)
	return len(f.changes) - before, blip
}

func TestSwingChangesFewRoles(t *testing.T) {
	swing, blip := countChanges(t, func(*config.RoleKnobs) {})
	must.LessEq(t, 4, swing)
	must.Eq(t, 0, blip)
	// Without a cost per change the planner follows the swing.
	swing, blip = countChanges(t, func(k *config.RoleKnobs) { k.ChangeSeconds, k.DrainSeconds = 0, 0; k.Smoothing = 1; k.Interval = 1 })
	must.Greater(t, 4, swing)
	must.Positive(t, blip)
}

func TestDesiredCountsAreMonotoneInCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := demand.Demand{Prefill: rapid.Float64Range(0, 40).Draw(t, "prefill"), Decode: rapid.Float64Range(0, 40).Draw(t, "decode")}
		mixed := rapid.Float64Range(0, 1).Draw(t, "mixed")
		n := rapid.IntRange(0, 60).Draw(t, "engines")
		few, more := DesiredCounts(d, n, mixed), DesiredCounts(d, n+1, mixed)
		must.LessEq(t, more.Prefill, few.Prefill)
		must.LessEq(t, more.Decode, few.Decode)
		must.LessEq(t, n, few.Prefill+few.Decode)
	})
}
