package orders_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/duty"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/orders"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
)

// runScenario runs f in a cluster whose duty for the engines is held, and requires
// that no invariant was violated.
func runScenario(t *testing.T, checking int, f func(*cluster, *node)) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(checking, disabled{})
		w.setWantedRole(fleet.Mixed)
		w.start(duty.Engines(model))
		for w.holder(duty.Engines(model)) == nil {
			w.advance(tick)
		}
		f(w, w.holder(duty.Engines(model)))
		w.stop()
		must.NoError(t, w.violation())
	})
}

// converged reports whether all engines have the given role and no hold.
func (w *cluster) converged(role fleet.Role) bool {
	for _, e := range w.engines {
		if e.report().Role != role || w.held(e.name) {
			return false
		}
	}
	return true
}

func TestStoreOutageOfTenMinutes(t *testing.T) {
	runScenario(t, 1, func(w *cluster, _ *node) {
		w.setWantedRole(fleet.Prefill)
		w.advance(3 * time.Second)
		w.store.Set(faultstore.Faults{Down: true})
		w.setWantedRole(fleet.Decode)
		w.advance(10 * time.Minute)
		effects := w.effects()
		must.Nil(t, w.holder(duty.Engines(model)))
		w.advance(time.Minute)
		must.Eq(t, effects, w.effects())
		w.store.Set(faultstore.Faults{})
		w.advance(90 * time.Second)
		must.True(t, w.converged(fleet.Decode))
	})
}

// effects returns how many orders took effect at all engines.
func (w *cluster) effects() int {
	sum := 0
	for _, e := range w.engines {
		sum += e.effects
	}
	return sum
}

func TestFailureDomainLostWithItsHolder(t *testing.T) {
	for _, checking := range []int{0, 2} {
		runScenario(t, checking, func(w *cluster, first *node) {
			w.setWantedRole(fleet.Prefill)
			w.advance(8 * time.Second)
			lost := time.Now()
			first.process.Kill()
			w.engines["engine-0"].crash()
			fencing := w.holdRevisions[len(w.holdRevisions)-1].holds.Targets[0].Fencing
			w.advance(90 * time.Second)
			must.True(t, w.converged(fleet.Prefill))
			for _, r := range w.holdRevisions {
				if len(r.holds.Targets) > 0 && r.holds.Targets[0].Fencing > fencing {
					gap := r.at.Sub(lost)
					t.Logf("successor's first effect after %v", gap)
					leases, steps := lease.DefaultTiming(), orders.DefaultTiming()
					must.LessEq(t, leases.TTL+2*leases.PollInterval+leases.RankWait+2*steps.PollInterval, gap)
					break
				}
			}
		})
	}
}

func TestEveryStoreAnswerLost(t *testing.T) {
	runScenario(t, 1, func(w *cluster, _ *node) {
		w.store.Set(faultstore.Faults{LoseResponse: func(key external.Key) bool { return key != "lease" }})
		w.setWantedRole(fleet.Prefill)
		w.advance(40 * time.Second)
		must.True(t, w.converged(fleet.Prefill))
		must.Eq(t, 2, w.effects())
	})
}

// TestEngineCrashDuringRoleChange crashes an engine at several moments of a role
// change, from the moment the order takes effect to the end of the change.
func TestEngineCrashDuringRoleChange(t *testing.T) {
	for _, checking := range []int{0, 2} {
		for _, after := range []time.Duration{0, tick, roleChangeTime / 2, roleChangeTime} {
			runScenario(t, checking, func(w *cluster, _ *node) {
				w.setWantedRole(fleet.Prefill)
				for w.effects() == 0 {
					w.advance(tick)
				}
				w.advance(after)
				w.engines["engine-0"].crash()
				w.advance(time.Minute)
				must.True(t, w.converged(fleet.Prefill))
			})
		}
	}
}

// TestTargetWithoutFencingWaitsForSender pauses the holder for five minutes after
// it has journaled a send to an engine that does not check fencing tokens. A
// successor takes over but must wait until the paused process can no longer send.
func TestTargetWithoutFencingWaitsForSender(t *testing.T) {
	runScenario(t, 0, func(w *cluster, first *node) {
		w.setWantedRole(fleet.Prefill)
		for w.journaledPhase("engine-0") != orders.PhaseSent {
			w.advance(tick)
		}
		first.process.Pause(5 * time.Minute)
		w.setWantedRole(fleet.Decode)
		w.advance(4 * time.Minute)
		next := w.holder(duty.Engines(model))
		must.NotNil(t, next)
		must.NotEq(t, first.host, next.host)
		w.advance(3 * time.Minute)
		must.True(t, w.converged(fleet.Decode))
	})
}

// journaledPhase returns the phase of an engine's order in the journal.
func (w *cluster) journaledPhase(name ident.Target) orders.Phase {
	list, err := orders.ReadJournal(context.Background(), w.memory)
	if err != nil {
		return ""
	}
	for _, status := range list {
		if status.Target == name {
			return status.Phase
		}
	}
	return ""
}
