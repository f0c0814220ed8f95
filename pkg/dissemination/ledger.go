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
	own  map[ident.Workspace]uint64
	told map[ident.Workspace]uint64
	// mine holds the lives of this process, whose sums are not elsewhere.
	mine map[Life]bool
	// last are the other lives' newest sums, elsewhere what they add up to.
	// A sum of elsewhere never falls.
	last      map[Life]map[ident.Workspace]uint64
	elsewhere map[ident.Workspace]uint64
}

// Sum is a workspace's cumulative consumption.
type Sum struct {
	Workspace ident.Workspace
	Sum       uint64
}

// NewLedger returns an empty ledger of a process that begins with a life.
func NewLedger(life Life) *Ledger {
	return &Ledger{
		own: make(map[ident.Workspace]uint64), told: make(map[ident.Workspace]uint64), mine: map[Life]bool{life: true},
		last: make(map[Life]map[ident.Workspace]uint64), elsewhere: make(map[ident.Workspace]uint64),
	}
}

// Renew goes on under a new life, which publishes what the old one has not.
func (l *Ledger) Renew(life Life) {
	l.mine[life] = true
	for workspace, told := range l.told {
		l.own[workspace] -= told
	}
	clear(l.told)
}

// Add counts consumption on this daemon.
func (l *Ledger) Add(workspace ident.Workspace, amount uint64) { l.own[workspace] += amount }

// Pick returns the sums that have changed the most since they were last
// picked, at most budget of them.
func (l *Ledger) Pick(budget int) []Sum {
	var sums []Sum
	for workspace, sum := range l.own {
		if sum > l.told[workspace] {
			sums = append(sums, Sum{workspace, sum})
		}
	}
	slices.SortFunc(sums, func(a, b Sum) int {
		byChange := cmp.Compare(b.Sum-l.told[b.Workspace], a.Sum-l.told[a.Workspace])
		return cmp.Or(byChange, cmp.Compare(a.Workspace, b.Workspace))
	})
	sums = sums[:min(budget, len(sums))]
	for _, s := range sums {
		l.told[s.Workspace] = s.Sum
	}
	return sums
}

// Take takes another life's sum in.
func (l *Ledger) Take(life Life, sum Sum) {
	if l.mine[life] {
		return
	}
	last := l.last[life]
	if last == nil {
		last = make(map[ident.Workspace]uint64)
		l.last[life] = last
	}
	if sum.Sum > last[sum.Workspace] {
		l.elsewhere[sum.Workspace] += sum.Sum - last[sum.Workspace]
		last[sum.Workspace] = sum.Sum
	}
}

// Elsewhere returns what a workspace has consumed on other daemons, as far as
// it is known here.
func (l *Ledger) Elsewhere(workspace ident.Workspace) uint64 { return l.elsewhere[workspace] }
