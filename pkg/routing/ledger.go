package routing

import (
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// ledger counts one daemon's requests at one target.
type ledger struct {
	// slot is the target's number in the prefix index; negative without one.
	slot int
	// hash stands for the target in rendezvous hashing.
	hash uint64
	// outstanding counts the requests that were sent and have not ended.
	outstanding int
	// sends are the requests that the last report can't know of, oldest first.
	sends []send
	// ended counts requests that the last report knows of and that ended since.
	ended int
	// incarnation and sequence are those of the last report taken in.
	incarnation ident.Incarnation
	sequence    uint64
	// load is what the target told with an answer, loadAt when; both are zero
	// before the first.
	load   fleet.LoadReport
	loadAt time.Time
	// failures counts failures in a row; ejectedUntil bars new work.
	failures     int
	ejectedUntil time.Time
}

// send is one request that a target was sent.
type send struct {
	request ident.Request
	at      time.Time
	// prefill is the expected count of uncached prompt tokens.
	prefill float64
}

// sent notes a request.
func (l *ledger) sent(s send) {
	l.outstanding++
	l.sends = append(l.sends, s)
}

// done notes a request's end.
func (l *ledger) done(id ident.Request) {
	l.outstanding = max(0, l.outstanding-1)
	for i := range l.sends {
		if l.sends[i].request == id {
			l.sends = slices.Delete(l.sends, i, i+1)
			return
		}
	}
	l.ended++
}

// told takes in a load that came with an answer. The sends before it are known
// to the target.
func (l *ledger) told(load fleet.LoadReport, now time.Time) {
	load.Sequence = l.load.Sequence + 1
	l.load, l.loadAt = load, now
	l.ended = 0
	l.sends = l.sends[:0]
}

// reported drops what a report from the given time knows of.
func (l *ledger) reported(incarnation ident.Incarnation, sequence uint64, at time.Time) {
	if incarnation == l.incarnation && sequence == l.sequence {
		return
	}
	l.incarnation, l.sequence = incarnation, sequence
	l.ended = 0
	known := 0
	for known < len(l.sends) && l.sends[known].at.Before(at) {
		known++
	}
	l.sends = slices.Delete(l.sends, 0, known)
}

// backlog returns the prompt tokens left at now, from those reported at a time
// and those sent since, computed at rate tokens per second. Each send counts
// factor times.
func (l *ledger) backlog(reported, rate, factor float64, at, now time.Time) float64 {
	left := reported
	for i := range l.sends {
		s := &l.sends[i]
		left = max(0, left-rate*s.at.Sub(at).Seconds()) + factor*s.prefill
		at = s.at
	}
	return max(0, left-rate*max(0, now.Sub(at).Seconds()))
}
