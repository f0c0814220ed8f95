package shift

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
)

const (
	// reportEvery is the time between an engine's load reports.
	reportEvery = 500 * time.Millisecond
	// lookedUp bounds the waiting prompts that are looked up in the memory;
	// the others are taken to be like them.
	lookedUp = 32
	// reportsKept bounds the reports that may still be on their way.
	reportsKept = 64
)

// report takes a load report and keeps it until every daemon has it.
func (e *engine) report() {
	if !e.alive {
		return
	}
	e.advance()
	e.settle()
	e.sequence++
	r := fleet.LoadReport{
		Target: e.record.Target, Incarnation: e.incarnation, Sequence: e.sequence, Role: e.role,
		Running: e.held, Slots: e.slotCount(), PrefillRate: prefillRate, DecodeRate: decodeRate,
		CachePieces: len(e.memory.blocks), CacheLimit: memoryPieces, Model: e.record.Model, TakenAt: e.sim.wall(),
		ComputedTokens: uint64(e.computed), GeneratedTokens: uint64(e.generated),
		DeferrableComputed: uint64(e.deferComputed), DeferrableGenerated: uint64(e.deferGenerated),
	}
	if e.role == fleet.Prefill {
		r.PrefillRate *= prefillGain
	}
	e.count(&r)
	e.reports = append(e.reports, r)
	if len(e.reports) > reportsKept {
		e.reports = e.reports[len(e.reports)-reportsKept:]
	}
}

// count fills in the figures of the jobs.
func (e *engine) count(r *fleet.LoadReport) {
	left, uncached, looked, unlooked := 0.0, 0.0, 0, 0
	for _, j := range e.prefills {
		if j.started {
			left += max(0, j.left)
		} else {
			left += e.uncached(j)
		}
		r.DeferrableRunning += deferrable(j)
	}
	for _, j := range e.running {
		r.DeferrableRunning += deferrable(j)
	}
	for class := range e.waiting {
		for _, j := range e.waiting[class] {
			r.Queued++
			r.DeferrableQueued += deferrable(j)
			if j.prompted {
				continue
			}
			if looked < lookedUp {
				looked++
				uncached += e.uncached(j)
			}
			unlooked++
		}
	}
	left += uncached * float64(unlooked) / float64(max(1, looked))
	r.PrefillTokens = int(left)
}

// deferrable returns one for a job of the last class.
func deferrable(j *job) int {
	if j.class == classes-1 {
		return 1
	}
	return 0
}

// seen returns the newest report that was taken by the given time, and false
// where none was.
func (e *engine) seen(by time.Time) (fleet.LoadReport, bool) {
	for i := len(e.reports) - 1; i >= 0; i-- {
		if !e.reports[i].TakenAt.After(by) {
			return e.reports[i], true
		}
	}
	return fleet.LoadReport{}, false
}
