package orders_test

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/orders"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// This file has the methods by which the cluster implements the interfaces that the
// managers of orders are given, and the state that these methods read.

// readHolds records a new state of the holds.
func (c *cluster) readHolds() {
	entry, err := c.memory.Get(context.Background(), config.HoldsKey)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || (len(c.holdRevisions) > 0 && c.holdRevisions[len(c.holdRevisions)-1].version == entry.Version) {
		return
	}
	state := holdRevision{version: entry.Version, at: time.Now()}
	if err := json.Unmarshal(entry.Value, &state.holds); err == nil {
		c.holdRevisions = append(c.holdRevisions, state)
	}
}

// held reports whether the daemons apply a hold on a target.
func (c *cluster) held(name ident.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := false
	for _, r := range c.holdRevisions {
		if time.Since(r.at) < holdLag {
			break
		}
		held = false
		for _, hold := range r.holds.Targets {
			held = held || hold.Target == name
		}
	}
	return held
}

// HoldsInForce implements orders.HoldAcceptance.
func (c *cluster) HoldsInForce(revision ident.Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.holdRevisions {
		if ident.Revision(r.version) >= revision && time.Since(r.at) >= holdLag+acceptLag {
			return true
		}
	}
	return c.disabled.hold
}

// Ended implements orders.TerminationDetector; a kill is known after goneAfter.
func (c *cluster) Ended(host ident.Host, _ ident.Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, killed := c.killedAt[host]
	return killed && time.Since(at) >= goneAfter
}

// newID returns a new order ID. IDs sort by the time they were made.
func (c *cluster) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids++
	return fmt.Sprintf("order-%06d", c.ids)
}

// setWantedRole sets the role that the planner requests for all engines.
func (c *cluster) setWantedRole(role fleet.Role) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wantedRole = role
}

// PlanEngines implements orders.EnginePlanner.
func (c *cluster) PlanEngines(snapshot *fleet.Snapshot, _ time.Time) []orders.PlannedOrder {
	c.mu.Lock()
	role := c.wantedRole
	c.mu.Unlock()
	var list []orders.PlannedOrder
	for i := range snapshot.Targets {
		if state := &snapshot.Targets[i]; state.Load.Role != role {
			list = append(list, orders.PlannedOrder{Target: state.Record.Target, Order: target.Order{Kind: target.OrderRole, Role: role}})
		}
	}
	return list
}

// Snapshot implements fleet.View.
func (c *cluster) Snapshot() *fleet.Snapshot {
	var states []fleet.TargetState
	for i := range len(c.engines) {
		states = append(states, c.engines[ident.Target(fmt.Sprintf("engine-%d", i))].targetState())
	}
	return fleet.NewSnapshot(states)
}
