package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// smallBatches is a fleet of many daemons, each with a small part of the requests,
// and engines with few slots.
var smallBatches = fleetSize{daemons: 60, prefill: 6, mixed: 10, reportRadius: 30, slots: 12}

// TestSmallBatchesFillEvenlyAcrossManyDaemons places as many answers as take nine
// tenths of the slots, a few from each of many daemons. None may wait for a slot while
// others are free, as it would if daemons knew only their own requests.
func TestSmallBatchesFillEvenlyAcrossManyDaemons(t *testing.T) {
	sim := newFleetSim(smallBatches)
	answers := make(map[ident.Target]int)
	for id := range smallBatches.mixed * smallBatches.slots * 9 / 10 {
		self := id % smallBatches.daemons
		router := sim.routers[self]
		req := sharedPrompt(id, id)
		decode, err := router.ChooseDecode(req, nil)
		must.NoError(t, err)
		answers[decode.Record.Target]++
		sim.reports[self] = router.TakeReport()
	}
	for target, n := range answers {
		must.LessEq(t, smallBatches.slots, n, must.Sprint(target))
	}
}

// TestFullBatchOfFewSlotsMeansWaiting checks that an answer is expected to wait at an
// engine whose few slots are all taken.
func TestFullBatchOfFewSlotsMeansWaiting(t *testing.T) {
	sim := newFleetSim(smallBatches)
	state := sim.routers[0].opts.View.Snapshot().Targets[smallBatches.prefill]
	e := estimateEngine(&state, &targetTracker{outstanding: smallBatches.slots}, 1, &sim.knobs, sim.now)
	wait, _ := e.decode(120, false)
	must.Positive(t, wait)
}

// TestWorkCoversTheFleet checks that a daemon knows how many engines the answers of
// all daemons fill, and which part of the work its prompts are.
func TestWorkCoversTheFleet(t *testing.T) {
	sim := newFleetSim(smallBatches)
	for id := range 60 {
		router := sim.routers[id]
		req := sharedPrompt(id, id)
		decode, err := router.ChooseDecode(req, nil)
		must.NoError(t, err)
		sim.reports[id] = router.TakeReport()
		router.ObserveWork(req, decode.Record.Target, 100*time.Millisecond, 1200*time.Millisecond)
	}
	work, known := sim.routers[0].Work("m")
	must.True(t, known)
	must.InDelta(t, 5, work.DecodeLoad, 1e-9, must.Sprint("60 answers in batches of 12"))
	must.InDelta(t, 0.5, work.PrefillPart, 1e-9)
	for id := range 4 {
		placement, err := sim.routers[id].Place(sharedPrompt(100+id, 100+id), nil)
		must.NoError(t, err)
		must.NotNil(t, placement.Decode)
		sim.reports[id] = sim.routers[id].TakeReport()
	}
	work, _ = sim.routers[0].Work("m")
	must.InDelta(t, 5, work.DecodeLoad, 1e-9, must.Sprint("prompts that are being computed are no answers yet"))
	prefill := sim.routers[0].opts.View.Snapshot().Targets[0]
	must.Eq(t, fleet.Prefill, prefill.Load.Role)
	sim.routers[0].ObserveWork(sharedPrompt(1, 1), prefill.Record.Target, time.Second, time.Second)
	again, _ := sim.routers[0].Work("m")
	must.InDelta(t, work.PrefillPart, again.PrefillPart, 1e-9)
}

// TestWorkIsUnknownWithoutReports checks that a daemon without an answer, or without
// the reports of most others, claims to know nothing.
func TestWorkIsUnknownWithoutReports(t *testing.T) {
	sim := newFleetSim(smallBatches)
	_, known := sim.routers[0].Work("m")
	must.False(t, known)
	alone := smallBatches
	alone.reportRadius = 2
	sim = newFleetSim(alone)
	decode, err := sim.routers[0].ChooseDecode(sharedPrompt(1, 1), nil)
	must.NoError(t, err)
	sim.routers[0].ObserveWork(sharedPrompt(1, 1), decode.Record.Target, 0, time.Second)
	_, known = sim.routers[0].Work("m")
	must.False(t, known)
}

// TestFullBatchesRefuseAtOnce fills the slots of every engine that generates answers
// several times over. A request whose first part would come too late is refused at
// once, although its prompt could be computed, and told when to come back.
func TestFullBatchesRefuseAtOnce(t *testing.T) {
	sim := newFleetSim(smallBatches)
	var report backlog.Report
	for i := range smallBatches.mixed {
		target := ident.Target(fmt.Sprintf("e%02d", smallBatches.prefill+i))
		report.Outstanding = append(report.Outstanding, backlog.Outstanding{Target: target, Requests: float64(4 * smallBatches.slots)})
	}
	_, err := sim.routers[0].Place(sharedPrompt(1, 1), nil)
	must.NoError(t, err)
	sim.reports[1] = report
	_, err = sim.routers[0].Place(sharedPrompt(2, 2), nil)
	refusal, ok := fault.As(err)
	must.True(t, ok)
	must.Eq(t, fault.Unavailable, refusal.Kind)
	must.Positive(t, refusal.RetryAfter)
	urgentReq := sharedPrompt(3, 3)
	urgentReq.Urgency = 0
	_, err = sim.routers[0].Place(urgentReq, nil)
	must.NoError(t, err, must.Sprint("engines give an urgent request the next free slot"))
}
