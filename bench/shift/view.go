package shift

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
)

const (
	// snapshotInterval is the time between a daemon's snapshots.
	snapshotInterval = 250 * time.Millisecond
	// platformLag is the delay until a change on the platform shows in a daemon's
	// view.
	platformLag = time.Second
)

// view is one daemon's stale view of the targets.
type view struct {
	snapshot *fleet.Snapshot
	// reportLag is the delay of load reports.
	reportLag time.Duration
}

var _ fleet.View = (*view)(nil)

// Snapshot returns the newest snapshot.
func (v *view) Snapshot() *fleet.Snapshot { return v.snapshot }

// refresh replaces the snapshot with the state that has reached the daemon by now.
func (v *view) refresh(r *run) {
	now := r.sim.wall()
	states := make([]fleet.TargetState, 0, len(r.engines)+len(r.replicas))
	for _, e := range r.engines {
		if !e.listed(r.sim.now) {
			continue
		}
		state := fleet.TargetState{Record: e.record, SeenAt: now.Add(-platformLag), Draining: e.drainingListed(r.sim.now)}
		state.Record.Leaving = e.noticeAt > 0 && r.sim.now >= e.noticeAt+platformLag
		if !state.Record.Leaving {
			state.Record.LeaveBy = time.Time{}
		}
		if load, ok := e.latestReport(now.Add(-v.reportLag)); ok {
			state.Load, state.LoadAt = load, load.TakenAt.Add(v.reportLag)
		} else {
			state.Load.Role = e.role
		}
		states = append(states, state)
	}
	for _, p := range r.replicas {
		states = append(states, fleet.TargetState{Record: p.record, SeenAt: now.Add(-platformLag), LoadAt: now, Load: fleet.LoadReport{
			Target: p.record.Target, Sequence: 1, Running: p.running, Queued: len(p.waiting), Slots: replicaSlots,
		}})
	}
	v.snapshot = fleet.NewSnapshot(states)
}

// listed reports whether the daemons' views list the engine.
func (e *engine) listed(now time.Duration) bool {
	if !e.alive {
		return now < e.terminatedAt+platformLag
	}
	return now >= e.createdAt+platformLag || e.createdAt == 0
}

// drainingListed reports whether the daemons' views show that the engine is draining
// for a role change.
func (e *engine) drainingListed(now time.Duration) bool {
	return e.drainingSince > 0 && now >= e.drainingSince+platformLag
}
