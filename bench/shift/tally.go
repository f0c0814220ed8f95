package shift

import (
	"time"
)

// tally counts the outcomes of a run's requests and samples its fleet.
type tally struct {
	deployment *deployment
	workspaces []counts
	// byClass is indexed by priority.
	byClass [priorityCount]counts
	byKind  map[string]*counts
	// reclaimableWork is the work of the requests that were sent to reclaimable
	// engines and answered in time. missedAfterLoss counts the requests that were
	// sent there, had an attempt fail and were not answered in time.
	reclaimableWork float64
	missedAfterLoss int
	roleChanges     int
	samples         []sample
	// bySecond counts the requests by the second of their arrival, for plots.
	bySecond map[int]*counts
}

// counts are numbers of requests and their work in engine seconds; answered are
// those answered in time.
type counts struct {
	offered, answered         int
	offeredWork, answeredWork float64
	refused                   int
}

// sample is the state of the fleet at one second.
type sample struct {
	at                       time.Duration
	engines, prefill, decode int
	spend                    float64
}

// newTally returns an empty tally.
func newTally(d *deployment) *tally {
	return &tally{
		deployment: d, workspaces: make([]counts, len(d.sizes)),
		byKind: make(map[string]*counts), bySecond: make(map[int]*counts),
	}
}

// countsFor returns the counts that include a request; none during the warm-up.
func (t *tally) countsFor(a *arrival) []*counts {
	if a.at < warmupTime {
		return nil
	}
	kind, ok := t.byKind[a.kind.name]
	if !ok {
		kind = &counts{}
		t.byKind[a.kind.name] = kind
	}
	second, ok := t.bySecond[int(a.at/time.Second)]
	if !ok {
		second = &counts{}
		t.bySecond[int(a.at/time.Second)] = second
	}
	return []*counts{&t.workspaces[a.workspace], &t.byClass[priorityOf(a.req.Class)], kind, second}
}

// countOffered counts a request that arrived.
func (t *tally) countOffered(a *arrival) {
	for _, c := range t.countsFor(a) {
		c.offered++
		c.offeredWork += a.work
	}
}

// countAnswered counts a request that was answered in time.
func (t *tally) countAnswered(a *arrival) {
	for _, c := range t.countsFor(a) {
		c.answered++
		c.answeredWork += a.work
	}
}

// countRefused counts a request that admission refused.
func (t *tally) countRefused(a *arrival) {
	for _, c := range t.countsFor(a) {
		c.refused++
	}
}

// requestRefused handles a request that admission refused.
func (r *run) requestRefused(pending *pendingRequest) { r.tally.countRefused(pending.arrival) }

// requestEnded handles the end of a request that was sent to a target, or for
// which no target was found.
func (r *run) requestEnded(pending *pendingRequest, answered bool) {
	inTime := answered && r.sim.now <= pending.arrival.at+pending.arrival.kind.deadline
	if inTime {
		r.tally.countAnswered(pending.arrival)
		if pending.onReclaimable && pending.arrival.at >= warmupTime {
			r.tally.reclaimableWork += pending.arrival.work
		}
		return
	}
	if pending.targetLost && pending.onReclaimable && pending.arrival.at >= warmupTime {
		r.tally.missedAfterLoss++
	}
}

// totalWork returns the offered work and the work answered in time of all
// requests; that of service calls is zero.
func (t *tally) totalWork() (offered, answered float64) {
	for i := range t.byClass {
		offered += t.byClass[i].offeredWork
		answered += t.byClass[i].answeredWork
	}
	return offered, answered
}
