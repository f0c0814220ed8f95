package routing

import (
	"math"
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
	// meanLoad is the mean of what ran and waited by those answers.
	meanLoad float64
	// slowness is how many times longer the target takes for prompts than
	// reckoned; zero before the first.
	slowness float64
	// pending holds the prompts that were sent and not seen computed.
	pending map[ident.Request]send
	// urgent and other are the tokens of the pending prompts of the most urgent
	// rank and of the others.
	urgent, other float64
	// prompts remembers what the target was sent.
	prompts recent
	// failures counts failures in a row; ejectedUntil bars new work.
	failures     int
	ejectedUntil time.Time
	// awayUntil is until when the engine takes nothing unless its role changes
	// before; role is the one that it had last.
	awayUntil time.Time
	role      fleet.Role
}

// send is one request that a target was sent.
type send struct {
	request ident.Request
	at      time.Time
	// prefill is the expected count of uncached prompt tokens.
	prefill float64
	// reckoned is the expected time of the prompt, in seconds, and slowness what
	// the engine was taken to have then.
	reckoned, slowness float64
	// urgent says that the request is of the most urgent rank.
	urgent bool
}

const (
	// meanLoadWeight is the part of the newest value in the mean.
	meanLoadWeight = 0.1
	// slownessWeight is the part of the newest prompt in the slowness, which
	// stays within leastSlowness and mostSlowness.
	slownessWeight = 0.2
	leastSlowness  = 0.5
	mostSlowness   = 16
	// loadMemory is the time in which what a target told fades into the mean,
	// since other daemons send to it too.
	loadMemory = 250 * time.Millisecond
)

// present returns how many requests the target is expected to hold now: what it
// told, faded into the mean, and the daemon's own sends since.
func (l *ledger) present(now time.Time) float64 {
	told := float64(l.load.Running + l.load.Queued)
	faded := math.Exp(-now.Sub(l.loadAt).Seconds() / loadMemory.Seconds())
	return max(0, l.meanLoad+(told-l.meanLoad)*faded+float64(len(l.sends)-l.ended))
}

// assumedSlowness returns the slowness that prompts are reckoned with.
func (l *ledger) assumedSlowness() float64 {
	if l.slowness == 0 {
		return 1
	}
	return l.slowness
}

// took takes in how many seconds a prompt took beside what was reckoned, which
// had the slowness of that time in it. Short prompts tell little, since their
// time is spent on other things.
func (l *ledger) took(actual float64, s send) {
	if s.reckoned < leastReckoned {
		return
	}
	seen := min(mostSlowness, max(leastSlowness, s.slowness*actual/s.reckoned))
	assumed := l.assumedSlowness()
	l.slowness = assumed + (seen-assumed)*slownessWeight
}

// leastReckoned is the shortest prompt that slowness is learnt from, in seconds.
const leastReckoned = 0.05

// sent notes a request.
func (l *ledger) sent(s send) {
	l.outstanding++
	l.sends = append(l.sends, s)
	if s.prefill > 0 {
		if l.pending == nil {
			l.pending = make(map[ident.Request]send)
		}
		l.pending[s.request] = s
		l.add(&s, 1)
	}
}

// done notes a request's end.
func (l *ledger) done(id ident.Request) {
	l.outstanding = max(0, l.outstanding-1)
	l.computed(id)
	for i := range l.sends {
		if l.sends[i].request == id {
			l.sends = slices.Delete(l.sends, i, i+1)
			return
		}
	}
	l.ended++
}

// add adds a prompt to the sums, or takes it off.
func (l *ledger) add(s *send, sign float64) {
	if s.urgent {
		l.urgent = max(0, l.urgent+sign*s.prefill)
		return
	}
	l.other = max(0, l.other+sign*s.prefill)
}

// computed takes a prompt off the sums, and returns it.
func (l *ledger) computed(id ident.Request) (send, bool) {
	s, ok := l.pending[id]
	if ok {
		delete(l.pending, id)
		l.add(&s, -1)
	}
	return s, ok
}

// told takes in a load that came with an answer. The sends before it are known
// to the target.
func (l *ledger) told(load fleet.LoadReport, now time.Time) {
	present := float64(load.Running + load.Queued)
	if l.loadAt.IsZero() {
		l.meanLoad = present
	}
	l.meanLoad += (present - l.meanLoad) * meanLoadWeight
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
