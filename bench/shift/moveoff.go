package shift

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/supply"
)

// moveJobsOff moves those jobs off a leaving engine that would not end in time.
func (r *run) moveJobsOff(e *engine) {
	if !e.alive {
		return
	}
	e.advance()
	for _, j := range e.jobs() {
		remaining := j.remainingPrompt/prefillRate + j.remainingOutput/decodeRate
		if j.prefillDone {
			remaining = (j.finishClock - e.decodeClock) / decodeRate
		}
		end := r.sim.wall().Add(time.Duration(remaining * float64(time.Second)))
		if j.move != nil && supply.MustMove(end, e.record.LeaveBy, &r.knobs.Supply) {
			j.move()
		}
	}
}

// move moves a request's job from its engine to another one. If the prompt is
// computed, the KV cache is moved too; an incomplete prompt is computed again.
// Without a placement the job stays.
func (d *daemon) move(pending *pendingRequest) {
	j := pending.job
	from := j.engine
	if from == nil {
		return
	}
	exclude := append(pending.exclude, from.record.Target)
	placement, err := d.place(pending.arrival.req, exclude)
	if err != nil {
		return
	}
	from.remove(j)
	j.prefillStarted = false
	for _, target := range pending.targets {
		d.router.Done(pending.arrival.req, target)
	}
	to := placement.Target
	pending.targets = append(pending.targets[:0], to.Record.Target)
	j.decodeEngine = nil
	if placement.Decode != nil {
		pending.targets = append(pending.targets, placement.Decode.Record.Target)
		j.decodeEngine = d.run.engineNamed(placement.Decode.Record.Target)
	}
	next := d.run.engineNamed(to.Record.Target)
	if !j.prefillDone {
		next.submit(j)
		return
	}
	if j.decodeEngine != nil {
		next, j.decodeEngine = j.decodeEngine, nil
	}
	d.run.sim.after(kvMoveTime(j.req), func() { next.submit(j) })
}
