package shift

import (
	"time"
)

// tally counts what became of a run's requests.
type tally struct {
	deployment *deployment
	workspaces []counts
	byClass    [classes]counts
	byKind     map[string]*counts
	// cheapWork is the work done on reclaimable engines, harmed the requests
	// that were there when their engine went and were not answered in time.
	cheapWork float64
	harmed    int
	changes   int
	samples   []sample
	// answered counts answers in time by second, for plots.
	seconds map[int]*counts
}

// counts are requests and their work in engine seconds.
type counts struct {
	offered, answered         int
	offeredWork, answeredWork float64
	refused                   int
}

// sample is the fleet at one second.
type sample struct {
	at                       time.Duration
	engines, prefill, decode int
	spend                    float64
}

// newTally returns an empty tally.
func newTally(d *deployment) *tally {
	return &tally{
		deployment: d, workspaces: make([]counts, len(d.sizes)),
		byKind: make(map[string]*counts), seconds: make(map[int]*counts),
	}
}

// of returns the counts that a request belongs to.
func (t *tally) of(a *arrival) []*counts {
	if a.at < settleTime {
		return nil
	}
	kind, ok := t.byKind[a.kind.name]
	if !ok {
		kind = &counts{}
		t.byKind[a.kind.name] = kind
	}
	second, ok := t.seconds[int(a.at/time.Second)]
	if !ok {
		second = &counts{}
		t.seconds[int(a.at/time.Second)] = second
	}
	return []*counts{&t.workspaces[a.workspace], &t.byClass[classOf(a.req.Class)], kind, second}
}

// offer counts a request that came.
func (t *tally) offer(a *arrival) {
	for _, c := range t.of(a) {
		c.offered++
		c.offeredWork += a.work
	}
}

// answer counts a request that was answered in time.
func (t *tally) answer(a *arrival) {
	for _, c := range t.of(a) {
		c.answered++
		c.answeredWork += a.work
	}
}

// refuse counts a refusal.
func (t *tally) refuse(a *arrival) {
	for _, c := range t.of(a) {
		c.refused++
	}
}

// refused takes a request that was not let in.
func (r *run) refused(t *attempt) { r.tally.refuse(t.arrival) }

// ended takes a request's end.
func (r *run) ended(t *attempt, answered bool) {
	inTime := answered && r.sim.now <= t.arrival.at+t.arrival.kind.deadline
	if inTime {
		r.tally.answer(t.arrival)
		if t.onReclaimable && t.arrival.at >= settleTime {
			r.tally.cheapWork += t.arrival.work
		}
		return
	}
	if t.lost && t.onReclaimable && t.arrival.at >= settleTime {
		r.tally.harmed++
	}
}

// work sums the offered and answered work of model requests.
func (t *tally) work() (offered, answered float64) {
	for i := range t.byClass {
		offered += t.byClass[i].offeredWork
		answered += t.byClass[i].answeredWork
	}
	return offered, answered
}
