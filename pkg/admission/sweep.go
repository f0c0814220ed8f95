package admission

import "time"

// sweep removes waiting requests that would miss their deadline, appends them to
// refused, and promotes deferrable requests whose deadline is near.
func (q *Queue) sweep(sched *scheduler, now time.Time, refused []*Entry) []*Entry {
	for _, f := range sched.flowList {
		for class := range f.queued {
			for i := 0; i < len(f.queued[class]); i++ {
				e := f.queued[class][i]
				if !q.opts.Disabled.Shedding && e.missesDeadline(now) {
					f.remove(e)
					e.state = ended
					e.Err = deadlineRefusal(sched.expectedWait(f, class))
					f.limits.charge(-1, -expectedTokens(e.Request))
					refused = append(refused, e)
					i--
				}
			}
		}
		q.promote(f, now)
	}
	return refused
}

// promote makes deferrable requests interactive when their deadline is near.
func (q *Queue) promote(f *flow, now time.Time) {
	for len(f.queued[classDeferrable]) > 0 {
		e := f.queued[classDeferrable][0]
		if e.Request.Deadline.IsZero() {
			return
		}
		slack := time.Duration(float64(e.minRunTime) * q.opts.Knobs(e.Request).DeferrableSlack)
		if e.Request.Deadline.Sub(now) > slack {
			return
		}
		f.remove(e)
		e.class = classInteractive
		f.push(e)
	}
}
