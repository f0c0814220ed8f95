package admission

import (
	"cmp"
	"slices"
)

// lookAhead bounds the requests of a class that are tried in one look. More
// than one is tried since those before may wait for engines that are busy
// while others are not.
const lookAhead = 8

// next returns the request of a class that goes next, or nil where the targets
// of those that come first are busy.
func (q *Queue) next(line *lane, class int) *Entry {
	q.heads = q.heads[:0]
	for _, part := range line.order {
		if len(part.queued[class]) == 0 {
			continue
		}
		e := part.queued[class][0]
		if class != lookups && !part.limits.mayRun(q.opts.Knobs(e.Request), q.daemons) {
			continue
		}
		q.heads = append(q.heads, e)
	}
	slices.SortStableFunc(q.heads, q.compare)
	for _, e := range q.heads[:min(lookAhead, len(q.heads))] {
		if q.open(e) {
			return e
		}
	}
	return nil
}

// compare orders two requests of a class: the workspace that was served least
// goes first.
func (q *Queue) compare(a, b *Entry) int {
	if q.opts.Off.Fair {
		return a.at.Compare(b.at)
	}
	return cmp.Compare(a.share.counter, b.share.counter)
}

// open reports whether the targets can take the request without a long wait.
func (q *Queue) open(e *Entry) bool {
	if q.opts.Off.Gate {
		return true
	}
	wait, taken := q.opts.Gate.Wait(e.Request)
	knobs := q.opts.Knobs(e.Request)
	switch e.class {
	case lookups:
		return wait <= knobs.LookupWait.D()
	case deferrables:
		return wait <= knobs.DeferrableWait.D() && taken < knobs.DeferrableShare
	default:
		if !q.opts.Off.Excess && e.lane.excess(e.share, knobs.ExcessFactor, q.opts.Now()) {
			return wait <= knobs.ExcessWait.D() && taken < knobs.DeferrableShare
		}
		return wait <= knobs.InteractiveWait.D()
	}
}
