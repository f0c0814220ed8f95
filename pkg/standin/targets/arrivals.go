package targets

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Arrivals shape how ordered targets come.
type Arrivals struct {
	// Delay is the time from an order to the arrival of its targets.
	Delay time.Duration
	// Make returns the record of a new target of a group. It is called with a
	// number that rises with each target.
	Make func(order external.TargetOrder, number int) external.TargetRecord
}

// arrival is one target that is on its way.
type arrival struct {
	order external.TargetOrder
	at    time.Time
}

// SetArrivals lets orders bring targets. Without it they bring none.
func (o *Orderer) SetArrivals(arrivals Arrivals) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.arrivals = arrivals
}

// SetUnavailable says whether a failure domain has no reclaimable targets to
// give.
func (o *Orderer) SetUnavailable(domain ident.FailureDomain, unavailable bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unavailable[domain] = unavailable
}

// Reclaim takes back every reclaimable target of a failure domain, after the
// given notice.
func (o *Orderer) Reclaim(domain ident.FailureDomain, notice time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.advance()
	for i := range o.records {
		record := &o.records[i]
		if record.FailureDomain == domain && record.Kind == external.Reclaimable {
			record.Leaving, record.LeaveBy = true, time.Now().Add(notice)
		}
	}
}

// advance brings what has arrived by now and removes what has left.
func (o *Orderer) advance() {
	now := time.Now()
	kept := o.records[:0]
	for _, record := range o.records {
		if !record.Leaving || now.Before(record.LeaveBy) {
			kept = append(kept, record)
		}
	}
	o.records = kept
	var still []arrival
	for _, a := range o.coming {
		if now.Before(a.at) || o.withheld(a.order) {
			still = append(still, a)
			continue
		}
		o.number++
		o.records = append(o.records, o.arrivals.Make(a.order, o.number))
	}
	o.coming = still
}

// withheld reports whether an order's targets can't be had at present.
func (o *Orderer) withheld(order external.TargetOrder) bool {
	return order.Kind == external.Reclaimable && o.unavailable[order.FailureDomain]
}

// supply begins what a group lacks of its wanted count, and gives back what it
// has too much.
func (o *Orderer) supply(order external.TargetOrder) {
	if o.arrivals.Make == nil {
		return
	}
	key := groupOf(order)
	o.coming = without(o.coming, key)
	have := 0
	for i := range o.records {
		record := &o.records[i]
		if record.Leaving || recordGroup(record) != key {
			continue
		}
		have++
		if have > order.Wanted {
			record.Leaving, record.LeaveBy = true, time.Now().Add(o.arrivals.Delay)
		}
	}
	for ; have < order.Wanted; have++ {
		o.coming = append(o.coming, arrival{order: order, at: time.Now().Add(o.arrivals.Delay)})
	}
}

// without returns the arrivals of the other groups.
func without(coming []arrival, key group) []arrival {
	var others []arrival
	for _, a := range coming {
		if groupOf(a.order) != key {
			others = append(others, a)
		}
	}
	return others
}

// groupOf returns what an order speaks of.
func groupOf(order external.TargetOrder) group {
	return group{domain: order.FailureDomain, model: order.Model, kind: order.Kind}
}

// recordGroup returns the group that a target belongs to.
func recordGroup(record *external.TargetRecord) group {
	return group{domain: record.FailureDomain, model: record.Model, kind: record.Kind}
}
