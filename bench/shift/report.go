package shift

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
)

const (
	// reportInterval is the time between an engine's load reports.
	reportInterval = 500 * time.Millisecond
	// maxCacheLookups limits the waiting prompts that are looked up in the prefix
	// cache for a report; their mean represents the others.
	maxCacheLookups = 32
	// maxReports limits the reports that an engine keeps for daemons that receive
	// them late.
	maxReports = 64
)

// report makes a load report and keeps it for the daemons, which receive it
// after their reportLag.
func (e *engine) report() {
	if !e.alive {
		return
	}
	e.advance()
	e.update()
	e.sequence++
	r := fleet.LoadReport{
		Target: e.record.Target, Incarnation: e.incarnation, Sequence: e.sequence, Role: e.role,
		Running: e.slotsUsed, Slots: e.slotCount(), PrefillRate: prefillRate, DecodeRate: decodeRate,
		CachePieces: len(e.cache.blocks), CacheLimit: cachePieces, Model: e.record.Model, TakenAt: e.sim.wall(),
		ComputedTokens: uint64(e.computed), GeneratedTokens: uint64(e.generated),
		DeferrableComputed: uint64(e.deferrableComputed), DeferrableGenerated: uint64(e.deferrableGenerated),
	}
	if e.role == fleet.Prefill {
		r.PrefillRate *= prefillGain
	}
	e.fillJobCounts(&r)
	e.reports = append(e.reports, r)
	if len(e.reports) > maxReports {
		e.reports = e.reports[len(e.reports)-maxReports:]
	}
}

// fillJobCounts sets the report's counts of jobs and of prompt tokens still to be
// computed.
func (e *engine) fillJobCounts(r *fleet.LoadReport) {
	remaining, uncached, lookups, prompts := 0.0, 0.0, 0, 0
	for _, j := range e.prefills {
		if j.prefillStarted {
			remaining += max(0, j.remainingPrompt)
		} else {
			remaining += e.uncachedTokens(j)
		}
		r.DeferrableRunning += deferrableCount(j)
	}
	for _, j := range e.running {
		r.DeferrableRunning += deferrableCount(j)
	}
	for priority := range e.waiting {
		for _, j := range e.waiting[priority] {
			r.Queued++
			r.DeferrableQueued += deferrableCount(j)
			if j.prefillDone {
				continue
			}
			if lookups < maxCacheLookups {
				lookups++
				uncached += e.uncachedTokens(j)
			}
			prompts++
		}
	}
	remaining += uncached * float64(prompts) / float64(max(1, lookups))
	r.PrefillTokens = int(remaining)
}

// deferrableCount returns 1 for a deferrable job and 0 for others.
func deferrableCount(j *job) int {
	if j.priority == priorityCount-1 {
		return 1
	}
	return 0
}

// latestReport returns the newest report taken at or before the given time, and
// false if there is none.
func (e *engine) latestReport(by time.Time) (fleet.LoadReport, bool) {
	for i := len(e.reports) - 1; i >= 0; i-- {
		if !e.reports[i].TakenAt.After(by) {
			return e.reports[i], true
		}
	}
	return fleet.LoadReport{}, false
}
