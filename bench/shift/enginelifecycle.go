package shift

import (
	"container/heap"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
)

// remove takes a job off the engine. The tokens that it has generated are kept.
func (e *engine) remove(j *job) {
	e.advance()
	if at := slices.Index(e.running, j); at >= 0 {
		heap.Remove(&e.running, j.index)
		j.remainingOutput = max(1, j.finishClock-e.decodeClock)
		e.slotsUsed--
	} else if at := slices.Index(e.prefills, j); at >= 0 {
		e.prefills = slices.Delete(e.prefills, at, at+1)
		e.slotsUsed--
	} else if at := slices.Index(e.waiting[j.priority], j); at >= 0 {
		e.waiting[j.priority] = slices.Delete(e.waiting[j.priority], at, at+1)
	}
	j.engine = nil
	e.update()
}

// terminate ends the process; its jobs fail after 1 ms.
func (e *engine) terminate() {
	if !e.alive {
		return
	}
	e.advance()
	lost := e.jobs()
	e.alive, e.terminatedAt = false, e.sim.now
	e.running, e.prefills, e.slotsUsed = nil, nil, 0
	e.waiting = [priorityCount][]*job{}
	for _, j := range lost {
		j.engine = nil
		e.sim.after(time.Millisecond, func() { j.done(true) })
	}
}

// start starts a process with an empty prefix cache.
func (e *engine) start(role fleet.Role) {
	e.alive, e.role = true, role
	e.incarnation++
	e.updatedAt = e.sim.now
	e.cache = newPrefixCache(cachePieces / piecesPerBlock)
	e.computed, e.generated, e.deferrableComputed, e.deferrableGenerated = 0, 0, 0, 0
}
