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

// readHolds records a new state of the holds.
func (w *cluster) readHolds() {
	entry, err := w.memory.Get(context.Background(), config.HoldsKey)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || (len(w.holdRevisions) > 0 && w.holdRevisions[len(w.holdRevisions)-1].version == entry.Version) {
		return
	}
	state := holdRevision{version: entry.Version, at: time.Now()}
	if err := json.Unmarshal(entry.Value, &state.holds); err == nil {
		w.holdRevisions = append(w.holdRevisions, state)
	}
}

// held reports whether the daemons apply a hold on a target.
func (w *cluster) held(name ident.Target) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := false
	for _, r := range w.holdRevisions {
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
func (w *cluster) HoldsInForce(version ident.Revision) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.holdRevisions {
		if ident.Revision(r.version) >= version && time.Since(r.at) >= holdLag+acceptLag {
			return true
		}
	}
	return w.disabled.hold
}

// Ended implements orders.TerminationDetector; a kill is known after goneAfter.
func (w *cluster) Ended(host ident.Host, _ ident.Incarnation) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, killed := w.killedAt[host]
	return killed && time.Since(at) >= goneAfter
}

// newID returns a new order ID. IDs sort by the time they were made.
func (w *cluster) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	return fmt.Sprintf("order-%06d", w.ids)
}

// setWantedRole sets the role that the planner requests for all engines.
func (w *cluster) setWantedRole(role fleet.Role) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wantedRole = role
}

// PlanEngines implements orders.EnginePlanner.
func (w *cluster) PlanEngines(snapshot *fleet.Snapshot, _ time.Time) []orders.PlannedOrder {
	w.mu.Lock()
	role := w.wantedRole
	w.mu.Unlock()
	var list []orders.PlannedOrder
	for i := range snapshot.Targets {
		if state := &snapshot.Targets[i]; state.Load.Role != role {
			list = append(list, orders.PlannedOrder{Target: state.Record.Target, Order: target.Order{Kind: target.OrderRole, Role: role}})
		}
	}
	return list
}

// Snapshot implements fleet.View.
func (w *cluster) Snapshot() *fleet.Snapshot {
	var states []fleet.TargetState
	for i := range len(w.engines) {
		states = append(states, w.engines[ident.Target(fmt.Sprintf("engine-%d", i))].targetState())
	}
	return fleet.NewSnapshot(states)
}
