package admission

import (
	"cmp"
	"slices"
)

// maxCandidates is the number of requests of a class that are tried per call. More
// than one is tried, since the first ones may wait for busy engines while other
// engines are free.
const maxCandidates = 8

// nextEntry returns the next request of a class to admit. It returns nil if there
// is none, or if the targets of the first maxCandidates requests are busy.
func (q *Queue) nextEntry(sched *scheduler, class int) *Entry {
	q.candidates = q.candidates[:0]
	for _, f := range sched.flowList {
		if len(f.queued[class]) == 0 {
			continue
		}
		e := f.queued[class][0]
		if class != classLookup && !f.limits.mayRun(q.opts.Knobs(e.Request), q.daemons) {
			continue
		}
		q.candidates = append(q.candidates, e)
	}
	slices.SortStableFunc(q.candidates, q.compare)
	for _, e := range q.candidates[:min(maxCandidates, len(q.candidates))] {
		if q.hasCapacity(e) {
			return e
		}
	}
	return nil
}

// compare orders two requests of a class: the workspace that was served the least
// relative to its weight goes first.
func (q *Queue) compare(a, b *Entry) int {
	if q.opts.Disabled.Fairness {
		return a.arrivedAt.Compare(b.arrivedAt)
	}
	return cmp.Compare(a.flow.counter, b.flow.counter)
}

// hasCapacity reports whether the targets can take the request within the wait
// limit of its class. Deferrable requests, and interactive ones of a workspace that
// exceeds its share, also need a sufficient share of free slots.
func (q *Queue) hasCapacity(e *Entry) bool {
	if q.opts.Disabled.Gate {
		return true
	}
	wait, utilization := q.opts.Gate.ExpectedWait(e.Request)
	knobs := q.opts.Knobs(e.Request)
	switch e.class {
	case classLookup:
		return wait <= knobs.LookupWait.D()
	case classDeferrable:
		return wait <= knobs.DeferrableWait.D() && utilization < knobs.DeferrableShare
	default:
		if !q.opts.Disabled.ExcessLimits && e.scheduler.exceedsShare(e.flow, knobs.ExcessFactor, q.opts.Now()) {
			return wait <= knobs.ExcessWait.D() && utilization < knobs.DeferrableShare
		}
		return wait <= knobs.InteractiveWait.D()
	}
}
