package dissemination

import (
	"cmp"
	"slices"
)

// Ledger sums what each account has consumed here and elsewhere. Every life
// publishes its own cumulative sums, so that a value that comes twice or late
// changes nothing. It is not safe for concurrent use.
type Ledger struct {
	// own are the sums of the present life, told the part of them that was
	// handed out to be published.
	own  map[Account]uint64
	told map[Account]uint64
	// mine holds the lives of this process, whose sums are not elsewhere.
	mine map[Life]bool
	// last are the other lives' newest sums, elsewhere what they add up to.
	// A sum of elsewhere never falls.
	last      map[Life]map[Account]uint64
	elsewhere map[Account]uint64
}

// Sum is an account's cumulative consumption.
type Sum struct {
	Account Account
	Sum     uint64
}

// NewLedger returns an empty ledger of a process that begins with a life.
func NewLedger(life Life) *Ledger {
	return &Ledger{
		own: make(map[Account]uint64), told: make(map[Account]uint64), mine: map[Life]bool{life: true},
		last: make(map[Life]map[Account]uint64), elsewhere: make(map[Account]uint64),
	}
}

// Renew goes on under a new life, which publishes what the old one has not.
func (l *Ledger) Renew(life Life) {
	l.mine[life] = true
	for account, told := range l.told {
		l.own[account] -= told
	}
	clear(l.told)
}

// Add counts consumption on this daemon.
func (l *Ledger) Add(account Account, amount uint64) { l.own[account] += amount }

// Pick returns the sums that have changed the most since they were last
// picked, at most budget of them.
func (l *Ledger) Pick(budget int) []Sum {
	var sums []Sum
	for account, sum := range l.own {
		if sum > l.told[account] {
			sums = append(sums, Sum{account, sum})
		}
	}
	slices.SortFunc(sums, func(a, b Sum) int {
		byChange := cmp.Compare(b.Sum-l.told[b.Account], a.Sum-l.told[a.Account])
		return cmp.Or(byChange, cmp.Compare(a.Account.name(), b.Account.name()))
	})
	sums = sums[:min(budget, len(sums))]
	for _, s := range sums {
		l.told[s.Account] = s.Sum
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
		last = make(map[Account]uint64)
		l.last[life] = last
	}
	if sum.Sum > last[sum.Account] {
		l.elsewhere[sum.Account] += sum.Sum - last[sum.Account]
		last[sum.Account] = sum.Sum
	}
}

// Elsewhere returns what an account has consumed on other daemons, as far as
// it is known here.
func (l *Ledger) Elsewhere(account Account) uint64 { return l.elsewhere[account] }
