package dissemination

import (
	"cmp"
	"slices"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Ledger sums what each workspace has consumed here and elsewhere. Every life
// publishes its own cumulative sums, so that a value that comes twice or late
// changes nothing. It is not safe for concurrent use.
type Ledger struct {
	// own are the sums of the present life, told the part of them that was
	// handed out to be published.
	own  map[ident.Workspace]Use
	told map[ident.Workspace]Use
	// mine holds the lives of this process, whose sums are not elsewhere.
	mine map[Life]bool
	// last are the other lives' newest sums, elsewhere what they add up to.
	// A sum of elsewhere never falls.
	last      map[Life]map[ident.Workspace]Use
	elsewhere map[ident.Workspace]Use
}

// NewLedger returns an empty ledger of a process that begins with a life.
func NewLedger(life Life) *Ledger {
	return &Ledger{
		own: make(map[ident.Workspace]Use), told: make(map[ident.Workspace]Use), mine: map[Life]bool{life: true},
		last: make(map[Life]map[ident.Workspace]Use), elsewhere: make(map[ident.Workspace]Use),
	}
}

// Renew goes on under a new life, which publishes what the old one has not.
func (l *Ledger) Renew(life Life) {
	l.mine[life] = true
	for workspace, told := range l.told {
		l.own[workspace] = l.own[workspace].minus(told)
	}
	clear(l.told)
}

// Add counts consumption on this daemon.
func (l *Ledger) Add(workspace ident.Workspace, use Use) {
	l.own[workspace] = l.own[workspace].plus(use)
}

// Pick returns the sums that have changed the most since they were last
// picked, at most budget of them.
func (l *Ledger) Pick(budget int) []Sum {
	var sums []Sum
	for workspace, use := range l.own {
		if use != l.told[workspace] {
			sums = append(sums, Sum{workspace, use})
		}
	}
	slices.SortFunc(sums, func(a, b Sum) int {
		byChange := cmp.Compare(l.change(b), l.change(a))
		return cmp.Or(byChange, cmp.Compare(a.Workspace, b.Workspace))
	})
	sums = sums[:min(budget, len(sums))]
	for _, s := range sums {
		l.told[s.Workspace] = s.Use
	}
	return sums
}

// change returns how much of a sum was not yet picked.
func (l *Ledger) change(s Sum) uint64 { return s.Use.minus(l.told[s.Workspace]).weight() }

// Take takes another life's sum in.
func (l *Ledger) Take(life Life, sum Sum) {
	if l.mine[life] {
		return
	}
	last := l.last[life]
	if last == nil {
		last = make(map[ident.Workspace]Use)
		l.last[life] = last
	}
	rise := sum.Use.minus(last[sum.Workspace])
	if rise != (Use{}) {
		l.elsewhere[sum.Workspace] = l.elsewhere[sum.Workspace].plus(rise)
		last[sum.Workspace] = last[sum.Workspace].plus(rise)
	}
}

// Elsewhere returns what a workspace has consumed on other daemons, as far as
// it is known here.
func (l *Ledger) Elsewhere(workspace ident.Workspace) Use { return l.elsewhere[workspace] }
