package routing

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Each simulated prompt has sharedBlocks blocks of a shared prefix, followed by
// uniqueBlocks of its own.
const (
	// reuseWindow is how long an engine holds the blocks that it was sent.
	reuseWindow  = 9800 * time.Millisecond
	simDuration  = 60 * time.Second
	sharedBlocks = 26
	uniqueBlocks = 7
)

// fleetSize sets the size of a simulated fleet and its load.
type fleetSize struct {
	daemons int
	// prefixes is the number of distinct shared prefixes, promptsPerSecond the
	// rate of prompts over the whole fleet.
	prefixes         int
	promptsPerSecond float64
	// prefill and mixed are the numbers of engines of each role.
	prefill, mixed int
	// reportRadius is the number of neighbors on either side, in a ring of
	// daemons, that a daemon reports to.
	reportRadius int
	// slots is the number of slots of an engine; zero means 64.
	slots int
}

var (
	// smallFleet receives 18.6 prompts per second, each with one of 126 prefixes,
	// so that each of its eight daemons receives a given prefix every 54 s on
	// average. All daemons report to each other.
	smallFleet = fleetSize{daemons: 8, prefixes: 126, promptsPerSecond: 18.6, prefill: 8, mixed: 4, reportRadius: 4}
	// largeFleet receives 75.4 prompts per second, each with one of 427 prefixes.
	// Each of its 77 daemons reports to sixteen others.
	largeFleet = fleetSize{daemons: 77, prefixes: 427, promptsPerSecond: 75.4, prefill: 80, mixed: 35, reportRadius: 8}
)

// fleetSim simulates the routers of many daemons over one view, with a manual
// clock.
type fleetSim struct {
	size    fleetSize
	now     time.Time
	knobs   config.RoutingKnobs
	routers []*ModelRouter
	// reports holds the last report of each daemon.
	reports map[int]backlog.Report
	// lastSent is when each engine was last sent each shared prefix.
	lastSent map[ident.Target]map[int]time.Time
}

// newFleetSim returns a fleet with idle engines.
func newFleetSim(size fleetSize) *fleetSim {
	sim := &fleetSim{
		size: size, now: time.Unix(1000, 0), reports: make(map[int]backlog.Report), lastSent: make(map[ident.Target]map[int]time.Time),
	}
	var states []fleet.TargetState
	for i := range size.prefill + size.mixed {
		role := fleet.Prefill
		if i >= size.prefill {
			role = fleet.Mixed
		}
		name := ident.Target(fmt.Sprintf("e%02d", i))
		kind := external.Reclaimable
		if i%5 == 0 {
			kind = external.Dependable
		}
		states = append(states, fleet.TargetState{
			Record: external.TargetRecord{Target: name, Model: "m", Kind: kind}, Load: fleet.LoadReport{Role: role, Slots: cmp.Or(size.slots, 64)},
		})
		sim.lastSent[name] = make(map[int]time.Time)
	}
	sim.knobs = config.BuiltinKnobs().Routing
	knobs := &sim.knobs
	knobs.PrefillRate, knobs.MixedPrefillShare, knobs.DecodeRate = 32000, 0.5, 150
	knobs.ReclaimablePenalty, knobs.MoveSetup = 0, config.Duration(30*time.Millisecond)
	knobs.NearEqual = config.Duration(2 * time.Millisecond)
	knobs.PrefillWeight, knobs.InterferenceWeight, knobs.MixedPromptLimit = 2, 0.15, 1500
	knobs.PromptMemory, knobs.AffinityCredit, knobs.Patience = config.Duration(12*time.Second), 0.1, 0.6
	view := &fixedView{fleet.NewSnapshot(states)}
	for i := range size.daemons {
		opts := Options{
			View: view, Knobs: func() *config.RoutingKnobs { return &sim.knobs }, Now: func() time.Time { return sim.now },
			Random: rand.New(rand.NewPCG(1, uint64(i))), Daemons: func() int { return size.daemons },
			PeerBacklog:    func(target ident.Target) backlog.Outstanding { return sim.peerBacklog(i, target) },
			ReportingShare: func() float64 { return min(1, 2*float64(size.reportRadius)/float64(size.daemons-1)) },
		}
		sim.routers = append(sim.routers, NewModelRouter(opts))
	}
	return sim
}

// peerBacklog sums up what the other daemons reported for an engine.
func (sim *fleetSim) peerBacklog(self int, target ident.Target) (total backlog.Outstanding) {
	for other, report := range sim.reports {
		for _, sum := range report.Outstanding {
			if sim.reportsTo(other, self) && sum.Target == target {
				total.Urgent += sum.Urgent
				total.Other += sum.Other
				total.Requests += sum.Requests
			}
		}
	}
	return total
}

// reportsTo reports whether a daemon sends its reports to another.
func (sim *fleetSim) reportsTo(from, to int) bool {
	distance := (to - from + sim.size.daemons) % sim.size.daemons
	return distance != 0 && min(distance, sim.size.daemons-distance) <= sim.size.reportRadius
}

// sharedPrompt returns a request with a shared prefix and a unique rest.
func sharedPrompt(prefix, id int) *request.Request {
	req := &request.Request{
		ID: ident.Request(fmt.Sprint(id)), Model: "m", Host: "h", Urgency: 1, Stream: true, FirstPart: 600 * time.Millisecond,
		PromptTokens: (sharedBlocks + uniqueBlocks) * request.PrefixBlockTokens, MaxOutputTokens: 120,
	}
	for i := range sharedBlocks {
		req.Prefix = append(req.Prefix, xxhash.Sum64String(fmt.Sprint("s", prefix, i)))
	}
	for i := range uniqueBlocks {
		req.Prefix = append(req.Prefix, xxhash.Sum64String(fmt.Sprint("o", id, i)))
	}
	return req
}

// recomputedShare runs the simulation and returns the share of placements at
// which a prefix is computed again although an engine holds it.
func (sim *fleetSim) recomputedShare(t *testing.T) float64 {
	random := rand.New(rand.NewPCG(7, 7))
	start, placed, recomputed := sim.now, 0, 0
	for id := 0; sim.now.Sub(start) < simDuration; id++ {
		sim.now = sim.now.Add(time.Duration(random.ExpFloat64() / sim.size.promptsPerSecond * float64(time.Second)))
		prefix, self := random.IntN(sim.size.prefixes), random.IntN(sim.size.daemons)
		req := sharedPrompt(prefix, id)
		placement, err := sim.routers[self].Place(req, nil)
		if err != nil {
			continue
		}
		placed++
		recomputed += sim.recordSend(placement.Target.Record.Target, prefix)
		sim.routers[self].ObservePromptTime(req, placement.Target.Record.Target, 120*time.Millisecond)
		sim.routers[self].Done(req, placement.Target.Record.Target)
		if placement.Decode != nil {
			sim.routers[self].Done(req, placement.Decode.Record.Target)
		}
		sim.sendReport(self)
	}
	must.Greater(t, 900, placed)
	return float64(recomputed) / float64(placed)
}

// recordSend records that an engine was sent a prefix. It returns 1 if only
// other engines held the prefix, and 0 otherwise.
func (sim *fleetSim) recordSend(target ident.Target, prefix int) int {
	heldHere, heldAnywhere := false, false
	for name, held := range sim.lastSent {
		at, ok := held[prefix]
		fresh := ok && sim.now.Sub(at) <= reuseWindow
		heldAnywhere = heldAnywhere || fresh
		heldHere = heldHere || (fresh && name == target)
	}
	sim.lastSent[target][prefix] = sim.now
	if heldAnywhere && !heldHere {
		return 1
	}
	return 0
}

// sendReport delivers a daemon's report to the others.
func (sim *fleetSim) sendReport(self int) {
	report := sim.routers[self].TakeReport()
	sim.reports[self] = report
	for i, router := range sim.routers {
		if sim.reportsTo(self, i) {
			router.ObserveReport(&report)
		}
	}
}
