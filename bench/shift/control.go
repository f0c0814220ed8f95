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
	// roleEvery and supplyEvery are the times between plans.
	roleEvery   = time.Second
	supplyEvery = 5 * time.Second
	// orderDelay is the time from an order for an engine to its first request.
	orderDelay = 90 * time.Second
	// returnNotice is the time that an engine which is returned may finish in.
	returnNotice = 120 * time.Second
)

// control carries out what the planners want, by one daemon's view.
type control struct {
	run    *run
	roles  *roles.Planner
	supply *supply.Planner
	// arriving counts the engines on order.
	arriving map[placeKey]int
}

// placeKey names what a target order is for.
type placeKey struct {
	domain ident.FailureDomain
	kind   external.TargetKind
}

// newControl returns the control of a run.
func newControl(r *run) *control {
	return &control{
		run: r, arriving: make(map[placeKey]int),
		roles: roles.NewPlanner(func(ident.Model) *config.RoleKnobs { return &r.knobs.Roles }),
		supply: supply.NewPlanner(supply.Options{
			Domains: r.deployment.domains, Knobs: func(ident.Model) *config.SupplyKnobs { return &r.knobs.Supply },
		}),
	}
}

// start plans until the trace ends.
func (c *control) start() {
	if !c.run.policy.noRoles {
		c.run.sim.every(settleTime, roleEvery, c.run.trace.length, c.planRoles)
	}
	if !c.run.policy.noSupply {
		c.run.sim.every(settleTime, supplyEvery, c.run.trace.length, c.planSupply)
	}
}

// stopped reports whether the store is out, so that no orders can be given.
func (c *control) stopped() bool {
	return c.run.sim.now >= c.run.trace.outage && c.run.sim.now < c.run.trace.outageEnd
}

// planRoles carries out wanted role changes.
func (c *control) planRoles() {
	if c.stopped() {
		return
	}
	for _, w := range c.roles.PlanEngines(c.run.daemons[0].view.Snapshot(), c.run.sim.wall()) {
		if e := c.run.engineNamed(w.Target); e.alive && e.heldAt == 0 && e.role != w.Order.Role {
			e.heldAt = c.run.sim.now
			c.run.tally.changes++
			c.run.sim.after(2*recordLag, func() { c.change(e, w.Order.Role) })
		}
	}
}

// change changes a role once nothing runs at the engine.
func (c *control) change(e *engine, role fleet.Role) {
	if !e.alive {
		e.heldAt = 0
		return
	}
	if len(e.jobs()) > 0 {
		c.run.sim.after(reportEvery, func() { c.change(e, role) })
		return
	}
	takes := time.Duration(c.run.knobs.Roles.ChangeSeconds * float64(time.Second))
	c.run.sim.after(takes, func() {
		if e.alive {
			e.advance()
			e.role = role
			e.settle()
		}
		e.heldAt = 0
	})
}

// planSupply carries out wanted counts.
func (c *control) planSupply() {
	if c.stopped() {
		return
	}
	for _, order := range c.supply.PlanSupply(c.run.daemons[0].view.Snapshot(), c.run.sim.wall()) {
		c.supplyTo(order)
	}
}

// supplyTo orders or returns engines so that the wanted count is there.
func (c *control) supplyTo(order external.TargetOrder) {
	key := placeKey{order.FailureDomain, order.Kind}
	var here []*engine
	for _, e := range c.run.engines {
		if e.alive && e.leaving == 0 && e.record.FailureDomain == key.domain && e.record.Kind == key.kind {
			here = append(here, e)
		}
	}
	for n := len(here) + c.arriving[key]; n < order.Wanted && c.run.available(c.position(key.domain), key.kind); n++ {
		c.arriving[key]++
		c.run.sim.after(orderDelay, func() {
			c.arriving[key]--
			if c.run.available(c.position(key.domain), key.kind) {
				c.run.addEngine(key.domain, key.kind)
			}
		})
	}
	for n := len(here); n > order.Wanted; n-- {
		c.giveBack(here[n-1])
	}
}

// giveBack returns an engine: it gets no new work and goes once it is idle.
func (c *control) giveBack(e *engine) {
	e.leaving = c.run.sim.now
	e.record.LeaveBy = c.run.sim.wall().Add(returnNotice)
	c.run.sim.after(2*recordLag, func() { c.goWhenIdle(e) })
}

// goWhenIdle ends an engine's process once nothing runs there.
func (c *control) goWhenIdle(e *engine) {
	if e.alive && len(e.jobs()) > 0 {
		c.run.sim.after(reportEvery, func() { c.goWhenIdle(e) })
		return
	}
	e.die()
}

// position returns a failure domain's place in the deployment.
func (c *control) position(domain ident.FailureDomain) int {
	for i, d := range c.run.deployment.domains {
		if d == domain {
			return i
		}
	}
	return -1
}
