package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

func plannerWith(share float64) *Planner {
	knobs := config.BuiltinKnobs().Roles
	knobs.RolloutShare = share
	return &Planner{
		Version: func(ident.Model) string { return "2" },
		Knobs:   func(ident.Model) *config.RoleKnobs { return &knobs },
	}
}

func enginesIn(domains, each int, now time.Time) []fleet.TargetState {
	var states []fleet.TargetState
	for i := range domains * each {
		states = append(states, fleet.TargetState{
			Record: external.TargetRecord{
				Target: ident.Target(fmt.Sprintf("e%02d", i)), Model: "m",
				FailureDomain: ident.FailureDomain(fmt.Sprintf("d%d", i%domains)),
			},
			Load: fleet.LoadReport{Sequence: 1, Version: "1"}, LoadAt: now,
		})
	}
	return states
}

func TestEveryEngineLoadsWithinTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		states := enginesIn(rapid.IntRange(1, 4).Draw(t, "domains"), rapid.IntRange(1, 6).Draw(t, "each"), now)
		share := rapid.Float64Range(0, 0.6).Draw(t, "share")
		limit := max(1, int(share*float64(len(states))))
		planner := plannerWith(share)
		for step := 0; ; step++ {
			must.Less(t, 3*len(states)+3, step)
			snapshot := fleet.NewSnapshot(states)
			wanted := planner.PlanEngines(snapshot, now)
			if len(wanted) == 0 {
				break
			}
			must.LessEq(t, limit, len(wanted))
			domain := snapshot.Target(wanted[0].Target).Record.FailureDomain
			for _, w := range wanted {
				must.Eq(t, domain, snapshot.Target(w.Target).Record.FailureDomain)
			}
			advance(states, wanted[rapid.IntRange(0, len(wanted)-1).Draw(t, "which")].Target)
		}
		for i := range states {
			must.Eq(t, "2", states[i].Load.Version)
		}
	})
}

// advance makes a target drain or, if it drains already, completes its load.
func advance(states []fleet.TargetState, name ident.Target) {
	for i := range states {
		if states[i].Record.Target != name {
			continue
		}
		if states[i].Draining {
			states[i].Load.Version = "2"
		}
		states[i].Draining = !states[i].Draining
	}
}

func TestMissingEngineUsesTheBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	states := enginesIn(2, 2, now)
	states[3].LoadAt = now.Add(-time.Minute)
	must.SliceEmpty(t, plannerWith(0.25).PlanEngines(fleet.NewSnapshot(states), now))
}
