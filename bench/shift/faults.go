package shift

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// scheduleFaults schedules the trace's crash and reclaim. Its other faults take
// effect in generator.rate, control.storeUnavailable and the view's reportLag.
func (r *run) scheduleFaults() {
	if r.trace.crash < never {
		r.sim.at(r.trace.crash, r.crash)
	}
	if r.trace.reclaim < never {
		r.sim.at(r.trace.reclaim, r.reclaim)
	}
}

// crash terminates engine 1, which starts again after crashDowntime.
func (r *run) crash() {
	e := r.engines[1]
	role := e.role
	e.terminate()
	r.sim.after(crashDowntime, func() { e.start(role) })
}

// reclaim gives notice to the reclaimable engines of failure domain 1.
func (r *run) reclaim() {
	domain := r.deployment.domains[1]
	for _, e := range r.engines {
		if e.alive && e.reclaimable() && e.record.FailureDomain == domain {
			r.giveNotice(e, reclaimNotice)
		}
	}
}

// giveNotice marks an engine as leaving and terminates it after the notice.
// After platformLag, when the daemons have received the notice, the jobs that would
// not end in time are moved, unless the policy disables moves.
func (r *run) giveNotice(e *engine, notice time.Duration) {
	e.noticeAt = r.sim.now
	e.record.LeaveBy = r.sim.wall().Add(notice)
	r.sim.after(notice, e.terminate)
	if !r.policy.noMoves {
		r.sim.after(platformLag, func() { r.moveJobsOff(e) })
	}
}

// available reports whether an engine of a kind can be started in a failure
// domain. In domain 1, no reclaimable engine can be started from the trace's reclaim
// until its unavailable time has passed.
func (r *run) available(domain int, kind external.TargetKind) bool {
	if kind == external.Dependable || domain != 1 || r.sim.now < r.trace.reclaim {
		return true
	}
	return r.sim.now >= r.trace.reclaim+r.trace.unavailable
}
