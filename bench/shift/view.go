package shift

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
)

const (
	// viewEvery is the time between a daemon's new snapshots.
	viewEvery = 250 * time.Millisecond
	// recordLag is how late a daemon learns what the platform knows.
	recordLag = time.Second
)

// view is one daemon's stale view of the targets.
type view struct {
	snapshot *fleet.Snapshot
	// lag is how late load reports come.
	lag time.Duration
}

var _ fleet.View = (*view)(nil)

// Snapshot returns the newest snapshot.
func (v *view) Snapshot() *fleet.Snapshot { return v.snapshot }

// refresh makes a new snapshot of what has reached the daemon.
func (v *view) refresh(r *run) {
	now := r.sim.wall()
	states := make([]fleet.TargetState, 0, len(r.engines)+len(r.replicas))
	for _, e := range r.engines {
		if !e.known(r.sim.now) {
			continue
		}
		state := fleet.TargetState{Record: e.record, SeenAt: now.Add(-recordLag), Draining: e.heldSince(r.sim.now)}
		state.Record.Leaving = e.leaving > 0 && r.sim.now >= e.leaving+recordLag
		if !state.Record.Leaving {
			state.Record.LeaveBy = time.Time{}
		}
		if load, ok := e.seen(now.Add(-v.lag)); ok {
			state.Load, state.LoadAt = load, load.TakenAt.Add(v.lag)
		} else {
			state.Load.Role = e.role
		}
		states = append(states, state)
	}
	for _, p := range r.replicas {
		states = append(states, fleet.TargetState{Record: p.record, SeenAt: now.Add(-recordLag), LoadAt: now, Load: fleet.LoadReport{
			Target: p.record.Target, Sequence: 1, Running: p.running, Queued: len(p.waiting), Slots: replicaSlots,
		}})
	}
	v.snapshot = fleet.NewSnapshot(states)
}

// known reports whether daemons count the engine among the targets.
func (e *engine) known(now time.Duration) bool {
	if !e.alive {
		return now < e.gone+recordLag
	}
	return now >= e.born+recordLag || e.born == 0
}

// heldSince reports whether daemons know that the engine is held for an order.
func (e *engine) heldSince(now time.Duration) bool {
	return e.heldAt > 0 && now >= e.heldAt+recordLag
}
