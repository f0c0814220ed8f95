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

// readHolds notes a new state of the holds.
func (w *world) readHolds() {
	entry, err := w.memory.Get(context.Background(), config.HoldsKey)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || (len(w.revisions) > 0 && w.revisions[len(w.revisions)-1].version == entry.Version) {
		return
	}
	state := revision{version: entry.Version, at: time.Now()}
	if err := json.Unmarshal(entry.Value, &state.holds); err == nil {
		w.revisions = append(w.revisions, state)
	}
}

// held reports whether daemons keep new work from a target.
func (w *world) held(name ident.Target) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := false
	for _, r := range w.revisions {
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
func (w *world) HoldsInForce(version ident.Revision) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.revisions {
		if ident.Revision(r.version) >= version && time.Since(r.at) >= holdLag+acceptAfter {
			return true
		}
	}
	return w.broken.hold
}

// Gone implements orders.ProcessFate with the lag of the host list.
func (w *world) Gone(host ident.Host, _ ident.Incarnation) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, killed := w.killedAt[host]
	return killed && time.Since(at) >= goneAfter
}

// newID returns the next order's id, in the order of making.
func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	return fmt.Sprintf("order-%06d", w.ids)
}

// want sets the role that the planner wants for all engines.
func (w *world) want(role fleet.Role) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wanted = role
}

// PlanEngines implements orders.EnginePlanner.
func (w *world) PlanEngines(snapshot *fleet.Snapshot, _ time.Time) []orders.Wanted {
	w.mu.Lock()
	role := w.wanted
	w.mu.Unlock()
	var list []orders.Wanted
	for i := range snapshot.Targets {
		if state := &snapshot.Targets[i]; state.Load.Role != role {
			list = append(list, orders.Wanted{Target: state.Record.Target, Order: target.Order{Kind: target.OrderRole, Role: role}})
		}
	}
	return list
}

// Snapshot implements fleet.View.
func (w *world) Snapshot() *fleet.Snapshot {
	var states []fleet.TargetState
	for i := range len(w.engines) {
		states = append(states, w.engines[ident.Target(fmt.Sprintf("engine-%d", i))].state())
	}
	return fleet.NewSnapshot(states)
}
