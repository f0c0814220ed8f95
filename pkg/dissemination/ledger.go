package dissemination

import (
	"cmp"
	"slices"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Ledger sums what each workspace has consumed on this daemon and elsewhere.
// Every life publishes its own cumulative sums, so that a duplicated or late
// value has no effect. It is not safe for concurrent use.
type Ledger struct {
	// own holds the sums of the current life, published the part of them that
	// PickChanged has returned.
	own       map[ident.Workspace]Use
	published map[ident.Workspace]Use
	// ownLives holds the lives of this process, whose sums don't count as
	// elsewhere.
	ownLives map[Life]bool
	// received holds the newest sums of the other lives, elsewhere their
	// totals. A total never decreases.
	received  map[Life]map[ident.Workspace]Use
	elsewhere map[ident.Workspace]Use
}

// NewLedger returns an empty ledger of a process that starts with a life.
func NewLedger(life Life) *Ledger {
	return &Ledger{
		own: make(map[ident.Workspace]Use), published: make(map[ident.Workspace]Use), ownLives: map[Life]bool{life: true},
		received: make(map[Life]map[ident.Workspace]Use), elsewhere: make(map[ident.Workspace]Use),
	}
}

// Renew switches to a new life, which publishes what the old one has not.
func (l *Ledger) Renew(life Life) {
	l.ownLives[life] = true
	for workspace, published := range l.published {
		l.own[workspace] = l.own[workspace].minus(published)
	}
	clear(l.published)
}

// Add counts consumption on this daemon.
func (l *Ledger) Add(workspace ident.Workspace, use Use) {
	l.own[workspace] = l.own[workspace].plus(use)
}

// PickChanged returns the sums that have changed the most since they were last
// picked, at most budget of them.
func (l *Ledger) PickChanged(budget int) []Sum {
	var sums []Sum
	for workspace, use := range l.own {
		if use != l.published[workspace] {
			sums = append(sums, Sum{workspace, use})
		}
	}
	slices.SortFunc(sums, func(a, b Sum) int {
		byChange := cmp.Compare(l.unpublished(b), l.unpublished(a))
		return cmp.Or(byChange, cmp.Compare(a.Workspace, b.Workspace))
	})
	sums = sums[:min(budget, len(sums))]
	for _, s := range sums {
		l.published[s.Workspace] = s.Use
	}
	return sums
}

// unpublished returns the weight of the part of a sum that was not yet picked.
func (l *Ledger) unpublished(s Sum) uint64 { return s.Use.minus(l.published[s.Workspace]).weight() }

// Merge merges a sum published by another life.
func (l *Ledger) Merge(life Life, sum Sum) {
	if l.ownLives[life] {
		return
	}
	received := l.received[life]
	if received == nil {
		received = make(map[ident.Workspace]Use)
		l.received[life] = received
	}
	rise := sum.Use.minus(received[sum.Workspace])
	if rise != (Use{}) {
		l.elsewhere[sum.Workspace] = l.elsewhere[sum.Workspace].plus(rise)
		received[sum.Workspace] = received[sum.Workspace].plus(rise)
	}
}

// Elsewhere returns what a workspace is known to have consumed on other
// daemons.
func (l *Ledger) Elsewhere(workspace ident.Workspace) Use { return l.elsewhere[workspace] }
