package admission

import "time"

// charge takes in what workspaces used elsewhere.
func (q *Queue) charge(now time.Time) {
	if now.Sub(q.chargedAt) < chargeEvery {
		return
	}
	q.chargedAt = now
	q.daemons = q.opts.Elsewhere.Daemons() + 1
	for name, bounds := range q.limits {
		used := bounds.charge(q.opts.Elsewhere.Consumption(name))
		if used == 0 {
			continue
		}
		for _, line := range q.order {
			if part, ok := line.shares[name]; ok {
				part.counter += used / part.weight
			}
		}
	}
}
