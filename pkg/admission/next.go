package admission

// next returns the request of a class that goes next, or nil.
func (q *Queue) next(line *lane, class int) *Entry {
	var best *Entry
	for _, part := range line.order {
		if len(part.queued[class]) == 0 {
			continue
		}
		e := part.queued[class][0]
		if class != lookups && !part.limits.mayRun(q.opts.Knobs(e.Request), q.daemons) {
			continue
		}
		if best == nil || q.before(e, best) {
			best = e
		}
	}
	return best
}

// before reports whether a goes before b within a class.
func (q *Queue) before(a, b *Entry) bool {
	if q.opts.Off.Fair {
		return a.at.Before(b.at)
	}
	return a.share.counter < b.share.counter
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
		return wait <= knobs.InteractiveWait.D()
	}
}
