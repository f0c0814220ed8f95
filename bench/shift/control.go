package shift

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/roles"
	"amaranthplank.example/amaranthplank/pkg/supply"
)

const (
	// rolePlanInterval and supplyPlanInterval are the times between two plans.
	rolePlanInterval   = time.Second
	supplyPlanInterval = 5 * time.Second
	// orderDelay is the time from the order of a new engine to its start.
	orderDelay = 90 * time.Second
	// returnNotice is the notice given to an engine that is returned to the
	// platform: the LeaveBy in its record is this long after the decision. The
	// simulated engine runs until it is idle.
	returnNotice = 120 * time.Second
)

// control runs the planners on the view of daemon 0 and carries out their
// decisions.
type control struct {
	run    *run
	roles  *roles.Planner
	supply *supply.Planner
	// ordered counts the engines that are ordered and haven't started yet.
	ordered map[orderKey]int
}

// orderKey is the failure domain and kind of target that an order is for.
type orderKey struct {
	domain ident.FailureDomain
	kind   external.TargetKind
}

// newControl returns the control of a run.
func newControl(r *run) *control {
	return &control{
		run: r, ordered: make(map[orderKey]int),
		roles: roles.NewPlanner(func(ident.Model) *config.RoleKnobs { return &r.knobs.Roles }),
		supply: supply.NewPlanner(supply.Options{
			Domains: r.deployment.domains, Knobs: func(ident.Model) *config.SupplyKnobs { return &r.knobs.Supply },
		}),
	}
}

// start schedules the planners until the trace ends.
func (c *control) start() {
	if !c.run.policy.noRoles {
		c.run.sim.every(warmupTime, rolePlanInterval, c.run.trace.length, c.planRoles)
	}
	if !c.run.policy.noSupply {
		c.run.sim.every(warmupTime, supplyPlanInterval, c.run.trace.length, c.planSupply)
	}
}

// storeUnavailable reports whether the trace has a store outage now, during which
// no orders can be issued.
func (c *control) storeUnavailable() bool {
	return c.run.sim.now >= c.run.trace.outage && c.run.sim.now < c.run.trace.outageEnd
}

// planRoles starts the role changes that the planner requests.
func (c *control) planRoles() {
	if c.storeUnavailable() {
		return
	}
	for _, planned := range c.roles.PlanEngines(c.run.daemons[0].view.Snapshot(), c.run.sim.wall()) {
		if e := c.run.engineNamed(planned.Target); e.alive && e.drainingSince == 0 && e.role != planned.Order.Role {
			e.drainingSince = c.run.sim.now
			c.run.tally.roleChanges++
			c.run.sim.after(2*platformLag, func() { c.changeRole(e, planned.Order.Role) })
		}
	}
}

// changeRole changes an engine's role once it is idle; the change takes the time
// of the knob ChangeSeconds.
func (c *control) changeRole(e *engine, role fleet.Role) {
	if !e.alive {
		e.drainingSince = 0
		return
	}
	if len(e.jobs()) > 0 {
		c.run.sim.after(reportInterval, func() { c.changeRole(e, role) })
		return
	}
	duration := time.Duration(c.run.knobs.Roles.ChangeSeconds * float64(time.Second))
	c.run.sim.after(duration, func() {
		if e.alive {
			e.advance()
			e.role = role
			e.update()
		}
		e.drainingSince = 0
	})
}

// planSupply applies the orders of the supply planner.
func (c *control) planSupply() {
	if c.storeUnavailable() {
		return
	}
	for _, order := range c.supply.PlanSupply(c.run.daemons[0].view.Snapshot(), c.run.sim.wall()) {
		c.applyOrder(order)
	}
}

// applyOrder orders or returns engines to reach the desired count.
func (c *control) applyOrder(order external.TargetOrder) {
	key := orderKey{order.FailureDomain, order.Kind}
	var existing []*engine
	for _, e := range c.run.engines {
		if e.alive && e.noticeAt == 0 && e.record.FailureDomain == key.domain && e.record.Kind == key.kind {
			existing = append(existing, e)
		}
	}
	for n := len(existing) + c.ordered[key]; n < order.DesiredCount && c.run.available(c.domainIndex(key.domain), key.kind); n++ {
		c.ordered[key]++
		c.run.sim.after(orderDelay, func() {
			c.ordered[key]--
			if c.run.available(c.domainIndex(key.domain), key.kind) {
				c.run.addEngine(key.domain, key.kind)
			}
		})
	}
	for n := len(existing); n > order.DesiredCount; n-- {
		c.returnEngine(existing[n-1])
	}
}

// returnEngine marks an engine as leaving, so that daemons send it no new work,
// and terminates it once it is idle.
func (c *control) returnEngine(e *engine) {
	e.noticeAt = c.run.sim.now
	e.record.LeaveBy = c.run.sim.wall().Add(returnNotice)
	c.run.sim.after(2*platformLag, func() { c.terminateWhenIdle(e) })
}

// terminateWhenIdle terminates an engine once it has no jobs.
func (c *control) terminateWhenIdle(e *engine) {
	if e.alive && len(e.jobs()) > 0 {
		c.run.sim.after(reportInterval, func() { c.terminateWhenIdle(e) })
		return
	}
	e.terminate()
}

// domainIndex returns a failure domain's index in the deployment, or -1.
func (c *control) domainIndex(domain ident.FailureDomain) int {
	for i, d := range c.run.deployment.domains {
		if d == domain {
			return i
		}
	}
	return -1
}
