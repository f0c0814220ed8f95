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
		c := newCluster(checking, disabled{})
		c.setWantedRole(fleet.Mixed)
		c.start(duty.Engines(model))
		for c.holder(duty.Engines(model)) == nil {
			c.advance(tick)
		}
		f(c, c.holder(duty.Engines(model)))
		c.stop()
		must.NoError(t, c.violation())
	})
}

// converged reports whether all engines have the given role and no hold.
func (c *cluster) converged(role fleet.Role) bool {
	for _, e := range c.engines {
		if e.report().Role != role || c.held(e.name) {
			return false
		}
	}
	return true
}

func TestStoreOutageOfTenMinutes(t *testing.T) {
	runScenario(t, 1, func(c *cluster, _ *node) {
		c.setWantedRole(fleet.Prefill)
		c.advance(3 * time.Second)
		c.store.Set(faultstore.Faults{Down: true})
		c.setWantedRole(fleet.Decode)
		c.advance(10 * time.Minute)
		effects := c.effects()
		must.Nil(t, c.holder(duty.Engines(model)))
		c.advance(time.Minute)
		must.Eq(t, effects, c.effects())
		c.store.Set(faultstore.Faults{})
		c.advance(90 * time.Second)
		must.True(t, c.converged(fleet.Decode))
	})
}

// effects returns how many orders took effect at all engines.
func (c *cluster) effects() int {
	sum := 0
	for _, e := range c.engines {
		sum += e.effects
	}
	return sum
}

func TestFailureDomainLostWithItsHolder(t *testing.T) {
	for _, checking := range []int{0, 2} {
		runScenario(t, checking, func(c *cluster, first *node) {
			c.setWantedRole(fleet.Prefill)
			c.advance(8 * time.Second)
			lost := time.Now()
			first.process.Kill()
			c.engines["engine-0"].crash()
			fencing := c.holdRevisions[len(c.holdRevisions)-1].holds.Targets[0].Fencing
			c.advance(90 * time.Second)
			must.True(t, c.converged(fleet.Prefill))
			for _, r := range c.holdRevisions {
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

func TestEveryStoreResponseLost(t *testing.T) {
	runScenario(t, 1, func(c *cluster, _ *node) {
		c.store.Set(faultstore.Faults{LoseResponse: func(key external.Key) bool { return key != "lease" }})
		c.setWantedRole(fleet.Prefill)
		c.advance(40 * time.Second)
		must.True(t, c.converged(fleet.Prefill))
		must.Eq(t, 2, c.effects())
	})
}

// TestEngineCrashDuringRoleChange crashes an engine at several moments of a role
// change, from the moment the order takes effect to the end of the change.
func TestEngineCrashDuringRoleChange(t *testing.T) {
	for _, checking := range []int{0, 2} {
		for _, after := range []time.Duration{0, tick, roleChangeTime / 2, roleChangeTime} {
			runScenario(t, checking, func(c *cluster, _ *node) {
				c.setWantedRole(fleet.Prefill)
				for c.effects() == 0 {
					c.advance(tick)
				}
				c.advance(after)
				c.engines["engine-0"].crash()
				c.advance(time.Minute)
				must.True(t, c.converged(fleet.Prefill))
			})
		}
	}
}

// TestTargetWithoutFencingWaitsForSender pauses the holder for five minutes after
// it has journaled a send to an engine that does not check fencing tokens. A
// successor takes over but must wait until the paused process can no longer send.
func TestTargetWithoutFencingWaitsForSender(t *testing.T) {
	runScenario(t, 0, func(c *cluster, first *node) {
		c.setWantedRole(fleet.Prefill)
		for c.journaledPhase("engine-0") != orders.PhaseSent {
			c.advance(tick)
		}
		first.process.Pause(5 * time.Minute)
		c.setWantedRole(fleet.Decode)
		c.advance(4 * time.Minute)
		next := c.holder(duty.Engines(model))
		must.NotNil(t, next)
		must.NotEq(t, first.host, next.host)
		c.advance(3 * time.Minute)
		must.True(t, c.converged(fleet.Decode))
	})
}

// journaledPhase returns the phase of an engine's order in the journal.
func (c *cluster) journaledPhase(name ident.Target) orders.Phase {
	list, err := orders.ReadJournal(context.Background(), c.memory)
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
