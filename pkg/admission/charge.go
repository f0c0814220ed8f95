package admission

import "time"

// chargeRemote charges each workspace's new usage at the other daemons to its limits
// and to the counters of its flows, at most once per remoteChargeInterval.
func (q *Queue) chargeRemote(now time.Time) {
	if now.Sub(q.lastRemoteCharge) < remoteChargeInterval {
		return
	}
	q.lastRemoteCharge = now
	q.daemons = q.opts.RemoteConsumption.Daemons() + 1
	for name, lim := range q.limits {
		used := lim.chargeRemote(q.opts.RemoteConsumption.Consumption(name))
		if used == 0 {
			continue
		}
		for _, sched := range q.schedulerList {
			if f, ok := sched.flows[name]; ok {
				f.counter += used / f.weight
			}
		}
	}
}
