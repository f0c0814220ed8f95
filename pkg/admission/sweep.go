package admission

import "time"

// sweep takes out the waiting requests that can't be answered any more and
// raises the class of those whose deadline comes near.
func (q *Queue) sweep(line *lane, now time.Time, refused []*Entry) []*Entry {
	for _, part := range line.order {
		for class := range part.queued {
			for i := 0; i < len(part.queued[class]); i++ {
				e := part.queued[class][i]
				if !q.opts.Off.Shedding && e.late(now) {
					part.remove(e)
					e.state = ended
					e.Err = refusal(line.expectedWait(part, class))
					part.limits.add(-1, -tokensOf(e.Request))
					refused = append(refused, e)
					i--
				}
			}
		}
		q.promote(part, now)
	}
	return refused
}

// promote makes deferrable requests interactive whose time is short.
func (q *Queue) promote(part *share, now time.Time) {
	for len(part.queued[deferrables]) > 0 {
		e := part.queued[deferrables][0]
		if e.Request.Deadline.IsZero() {
			return
		}
		slack := time.Duration(float64(e.run) * q.opts.Knobs(e.Request).DeferrableSlack)
		if e.Request.Deadline.Sub(now) > slack {
			return
		}
		part.remove(e)
		e.class = interactives
		part.push(e)
	}
}
