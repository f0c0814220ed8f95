package dissemination

import (
	"cmp"
	"slices"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Ledger sums what each workspace has consumed on this daemon and on others.
// Every instance publishes its own cumulative sums, so that a duplicated or late
// value has no effect. It is not safe for concurrent use.
type Ledger struct {
	// own holds the sums of the current instance, published the part of them that
	// PickChanged has returned.
	own       map[ident.Workspace]Consumption
	published map[ident.Workspace]Consumption
	// ownInstances holds the instances of this process, whose sums don't count as
	// remote.
	ownInstances map[Instance]bool
	// received holds the newest sums of the other instances, remote their
	// totals. A total never decreases.
	received map[Instance]map[ident.Workspace]Consumption
	remote   map[ident.Workspace]Consumption
}

// NewLedger returns an empty ledger of a process that starts as an instance.
func NewLedger(instance Instance) *Ledger {
	return &Ledger{
		own: make(map[ident.Workspace]Consumption), published: make(map[ident.Workspace]Consumption), ownInstances: map[Instance]bool{instance: true},
		received: make(map[Instance]map[ident.Workspace]Consumption), remote: make(map[ident.Workspace]Consumption),
	}
}

// Renew switches to a new instance, which publishes only what the old one has not.
func (l *Ledger) Renew(instance Instance) {
	l.ownInstances[instance] = true
	for workspace, published := range l.published {
		l.own[workspace] = l.own[workspace].minus(published)
	}
	clear(l.published)
}

// Add counts consumption on this daemon.
func (l *Ledger) Add(workspace ident.Workspace, consumed Consumption) {
	l.own[workspace] = l.own[workspace].plus(consumed)
}

// PickChanged returns the sums that have changed the most since they were last
// picked, at most budget of them.
func (l *Ledger) PickChanged(budget int) []Sum {
	var sums []Sum
	for workspace, consumed := range l.own {
		if consumed != l.published[workspace] {
			sums = append(sums, Sum{workspace, consumed})
		}
	}
	slices.SortFunc(sums, func(a, b Sum) int {
		byChange := cmp.Compare(l.unpublished(b), l.unpublished(a))
		return cmp.Or(byChange, cmp.Compare(a.Workspace, b.Workspace))
	})
	sums = sums[:min(budget, len(sums))]
	for _, s := range sums {
		l.published[s.Workspace] = s.Consumption
	}
	return sums
}

// unpublished returns the weight of the part of a sum that was not yet picked.
func (l *Ledger) unpublished(s Sum) uint64 {
	return s.Consumption.minus(l.published[s.Workspace]).weight()
}

// Merge merges a sum published by another instance.
func (l *Ledger) Merge(instance Instance, sum Sum) {
	if l.ownInstances[instance] {
		return
	}
	received := l.received[instance]
	if received == nil {
		received = make(map[ident.Workspace]Consumption)
		l.received[instance] = received
	}
	rise := sum.Consumption.minus(received[sum.Workspace])
	if rise != (Consumption{}) {
		l.remote[sum.Workspace] = l.remote[sum.Workspace].plus(rise)
		received[sum.Workspace] = received[sum.Workspace].plus(rise)
	}
}

// Remote returns what a workspace is known to have consumed on other
// daemons.
func (l *Ledger) Remote(workspace ident.Workspace) Consumption { return l.remote[workspace] }
