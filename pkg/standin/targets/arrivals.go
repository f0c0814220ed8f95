package targets

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Arrivals configures how ordered targets are created.
type Arrivals struct {
	// Delay is the time from an order to the arrival of its targets, and the
	// notice that targets in excess of an order get before they are removed.
	Delay time.Duration
	// Make returns the record of a new target for an order. number starts at one
	// and increases with each target. If Make is nil, orders create no targets.
	Make func(order external.TargetOrder, number int) external.TargetRecord
}

// arrival is one ordered target that has not arrived yet.
type arrival struct {
	order external.TargetOrder
	at    time.Time
}

// SetArrivals enables the creation of targets. Before it, orders create none.
func (o *Orderer) SetArrivals(arrivals Arrivals) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.arrivals = arrivals
}

// SetUnavailable sets whether reclaimable targets are unavailable in a failure
// domain.
func (o *Orderer) SetUnavailable(domain ident.FailureDomain, unavailable bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unavailable[domain] = unavailable
}

// Reclaim marks every reclaimable target of a failure domain as leaving; they are
// removed once the notice has elapsed.
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

// advance removes the targets that have left by now and adds those that have
// arrived. Arrivals of unavailable targets stay pending.
func (o *Orderer) advance() {
	now := time.Now()
	kept := o.records[:0]
	for _, record := range o.records {
		if !record.Leaving || now.Before(record.LeaveBy) {
			kept = append(kept, record)
		}
	}
	o.records = kept
	var stillPending []arrival
	for _, a := range o.pending {
		if now.Before(a.at) || o.isUnavailable(a.order) {
			stillPending = append(stillPending, a)
			continue
		}
		o.number++
		o.records = append(o.records, o.arrivals.Make(a.order, o.number))
	}
	o.pending = stillPending
}

// isUnavailable reports whether targets of an order's kind and failure domain are
// currently unavailable.
func (o *Orderer) isUnavailable(order external.TargetOrder) bool {
	return order.Kind == external.Reclaimable && o.unavailable[order.FailureDomain]
}

// reconcile adjusts a group to the desired count: targets in excess of it are marked
// as leaving, and the pending arrivals are replaced by one for each missing target.
func (o *Orderer) reconcile(order external.TargetOrder) {
	if o.arrivals.Make == nil {
		return
	}
	key := orderGroup(order)
	o.pending = withoutGroup(o.pending, key)
	have := 0
	for i := range o.records {
		record := &o.records[i]
		if record.Leaving || recordGroup(record) != key {
			continue
		}
		have++
		if have > order.DesiredCount {
			record.Leaving, record.LeaveBy = true, time.Now().Add(o.arrivals.Delay)
		}
	}
	for ; have < order.DesiredCount; have++ {
		o.pending = append(o.pending, arrival{order: order, at: time.Now().Add(o.arrivals.Delay)})
	}
}

// withoutGroup returns the arrivals of all groups but key.
func withoutGroup(pending []arrival, key group) []arrival {
	var others []arrival
	for _, a := range pending {
		if orderGroup(a.order) != key {
			others = append(others, a)
		}
	}
	return others
}

// orderGroup returns the group that an order applies to.
func orderGroup(order external.TargetOrder) group {
	return group{domain: order.FailureDomain, model: order.Model, kind: order.Kind}
}

// recordGroup returns the group that a target belongs to.
func recordGroup(record *external.TargetRecord) group {
	return group{domain: record.FailureDomain, model: record.Model, kind: record.Kind}
}
