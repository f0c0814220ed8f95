package shift

import (
	"container/heap"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
)

// remove takes a job out, with what it has generated kept.
func (e *engine) remove(j *job) {
	e.advance()
	if at := slices.Index(e.running, j); at >= 0 {
		heap.Remove(&e.running, j.index)
		j.output = max(1, j.finish-e.clock)
		e.held--
	} else if at := slices.Index(e.prefills, j); at >= 0 {
		e.prefills = slices.Delete(e.prefills, at, at+1)
		e.held--
	} else if at := slices.Index(e.waiting[j.class], j); at >= 0 {
		e.waiting[j.class] = slices.Delete(e.waiting[j.class], at, at+1)
	}
	j.at = nil
	e.settle()
}

// die ends the process; its jobs fail.
func (e *engine) die() {
	if !e.alive {
		return
	}
	e.advance()
	lost := e.jobs()
	e.alive, e.gone = false, e.sim.now
	e.running, e.prefills, e.held = nil, nil, 0
	e.waiting = [classes][]*job{}
	for _, j := range lost {
		j.at = nil
		e.sim.after(time.Millisecond, func() { j.done(true) })
	}
}

// start begins a process with an empty memory.
func (e *engine) start(role fleet.Role) {
	e.alive, e.role = true, role
	e.incarnation++
	e.updated = e.sim.now
	e.memory = newMemory(memoryPieces / pieceBlock)
	e.computed, e.generated, e.deferComputed, e.deferGenerated = 0, 0, 0, 0
}
