package routing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// TestLongPromptsAlwaysUsePrefillEngines repeats requests whose answers never
// began. If the mixed engine that was to generate the answer counted as holding
// the prompt, it would compute the prompt itself and delay all other answers.
func TestLongPromptsAlwaysUsePrefillEngines(t *testing.T) {
	sim := newFleetSim(smallFleet)
	for id := range 40 {
		req := sharedPrompt(id, id)
		for range 2 {
			placement, err := sim.routers[0].Place(req, nil)
			must.NoError(t, err)
			must.NotNil(t, placement.Decode)
			sim.routers[0].Done(req, placement.Target.Record.Target)
			sim.routers[0].Done(req, placement.Decode.Record.Target)
		}
	}
}

// TestPrefixIsFetchedOnlyAfterItIsComputed places prompts that share a prefix
// while one engine is busy with it for another daemon. Other engines may fetch
// the prefix only once it has been computed.
func TestPrefixIsFetchedOnlyAfterItIsComputed(t *testing.T) {
	const busy = ident.Target("e03")
	sim := newFleetSim(smallFleet)
	sim.knobs.FetchLeast, sim.knobs.FetchRate = 1500, 200000
	req := sharedPrompt(1, 1)
	sim.routers[0].ObserveReport(&backlog.Report{Placed: []backlog.PlacedPrompt{{Target: busy, Blocks: req.Prefix[:sharedBlocks], Millis: 500}}})
	sim.reports[1] = backlog.Report{Outstanding: []backlog.Outstanding{{Target: busy, Other: 40000}}}
	placement, err := sim.routers[0].Place(sharedPrompt(1, 2), nil)
	must.NoError(t, err)
	must.NotEq(t, busy, placement.Target.Record.Target)
	must.Nil(t, placement.CacheHolder, must.Sprint("there is nothing to fetch yet"))
	sim.now = sim.now.Add(time.Second)
	other := sharedPrompt(2, 3)
	sim.routers[0].ObserveReport(&backlog.Report{Placed: []backlog.PlacedPrompt{{Target: busy, Blocks: other.Prefix[:sharedBlocks], Millis: 500}}})
	sim.now = sim.now.Add(time.Second)
	placement, err = sim.routers[0].Place(other, nil)
	must.NoError(t, err)
	must.NotEq(t, busy, placement.Target.Record.Target)
	must.NotNil(t, placement.CacheHolder)
	must.Eq(t, busy, placement.CacheHolder.Record.Target)
}

// TestRecentBlocksDistinguishesSentFromComputed follows blocks from sending to
// expiry.
func TestRecentBlocksDistinguishesSentFromComputed(t *testing.T) {
	const retention = 12 * time.Second
	now := time.Unix(1000, 0)
	var r recentBlocks
	blocks := []uint64{1, 2, 3}
	r.add(blocks[:2], now, time.Second, retention)
	must.Eq(t, 2, r.depth(blocks, now, retention))
	must.Eq(t, 0, r.computedDepth(blocks, now, retention))
	r.add(blocks, now.Add(500*time.Millisecond), time.Second, retention)
	now = now.Add(1200 * time.Millisecond)
	must.Eq(t, 3, r.depth(blocks, now, retention))
	must.Eq(t, 2, r.computedDepth(blocks, now, retention), must.Sprint("the first computation counts"))
	now = now.Add(retention)
	must.Eq(t, 0, r.depth(blocks, now, retention))
	r.add(blocks, now, time.Second, retention)
	must.Eq(t, 0, r.computedDepth(blocks, now, retention), must.Sprint("the blocks expired in between"))
	var off recentBlocks
	off.add(blocks, now, 0, 0)
	must.Eq(t, 0, off.depth(blocks, now, retention))
}

// TestReportListsOnlyEndsOfPromptParts checks that a report contains only the
// hashes at which parts of a prompt end, and that another daemon's prompt with
// the same prefix still goes to the engine that holds it.
func TestReportListsOnlyEndsOfPromptParts(t *testing.T) {
	sim := newFleetSim(smallFleet)
	req := sharedPrompt(1, 1)
	req.PartEnds = []uint64{req.Prefix[sharedBlocks-1], req.Prefix[sharedBlocks+uniqueBlocks-1]}
	placement, err := sim.routers[0].Place(req, nil)
	must.NoError(t, err)
	sim.routers[0].Done(req, placement.Target.Record.Target)
	report := sim.routers[0].TakeReport()
	must.Len(t, 1, report.Placed)
	must.Len(t, 2, report.Placed[0].Blocks)
	sim.routers[1].ObserveReport(&report)
	sim.now = sim.now.Add(time.Second)
	next := sharedPrompt(1, 2)
	next.PartEnds = []uint64{next.Prefix[sharedBlocks-1]}
	again, err := sim.routers[1].Place(next, nil)
	must.NoError(t, err)
	must.Eq(t, placement.Target.Record.Target, again.Target.Record.Target)
	must.Eq(t, uniqueBlocks*request.PrefixBlockTokens, again.Expected.Uncached)
}

// TestRequestExpectedToMeetObjectiveIsPlaced places a prompt that only one engine
// holds, while that engine is busy for longer than the objective allows. The
// others can compute the whole prompt within the objective, so the request must
// be placed at one of them.
func TestRequestExpectedToMeetObjectiveIsPlaced(t *testing.T) {
	const busy = ident.Target("e03")
	sim := newFleetSim(smallFleet)
	req := sharedPrompt(1, 1)
	sim.routers[0].ObserveReport(&backlog.Report{Placed: []backlog.PlacedPrompt{{Target: busy, Blocks: req.Prefix}}})
	sim.reports[1] = backlog.Report{Outstanding: []backlog.Outstanding{{Target: busy, Other: 64000}}}
	placement, err := sim.routers[0].Place(req, nil)
	must.NoError(t, err)
	must.NotEq(t, busy, placement.Target.Record.Target)
	must.LessEq(t, req.FirstPart, placement.Expected.Wait+placement.Expected.Own)
}
