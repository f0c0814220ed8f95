package shift

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/supply"
)

// moveOff moves the work off a leaving engine that would not end in time.
func (r *run) moveOff(e *engine) {
	if !e.alive {
		return
	}
	e.advance()
	for _, j := range e.jobs() {
		left := j.left/prefillRate + j.output/decodeRate
		if j.prompted {
			left = (j.finish - e.clock) / decodeRate
		}
		end := r.sim.wall().Add(time.Duration(left * float64(time.Second)))
		if j.move != nil && supply.MustMove(end, e.record.LeaveBy, &r.knobs.Supply) {
			j.move()
		}
	}
}

// move takes an attempt from its engine and goes on with it at another, with
// its KV cache where the prompt was computed.
func (d *daemon) move(t *attempt) {
	j := t.job
	from := j.at
	if from == nil {
		return
	}
	exclude := append(t.exclude, from.record.Target)
	placement, err := d.place(t.arrival.req, exclude)
	if err != nil {
		return
	}
	from.remove(j)
	j.started = false
	for _, target := range t.placed {
		d.router.Done(t.arrival.req, target)
	}
	to := placement.Target
	t.placed = append(t.placed[:0], to.Record.Target)
	j.decode = nil
	if placement.Decode != nil {
		t.placed = append(t.placed, placement.Decode.Record.Target)
		j.decode = d.run.engineNamed(placement.Decode.Record.Target)
	}
	next := d.run.engineNamed(to.Record.Target)
	if !j.prompted {
		next.submit(j)
		return
	}
	if j.decode != nil {
		next, j.decode = j.decode, nil
	}
	d.run.sim.after(moveTime(j.req), func() { next.submit(j) })
}
