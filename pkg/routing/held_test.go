package routing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// TestLongPromptsAreNeverComputedBesideAnswers sends a caller's request again
// whose answer never began. The engine that was to generate it may not have got
// the prompt, and would hold up all other answers while it computed it.
func TestLongPromptsAreNeverComputedBesideAnswers(t *testing.T) {
	p := newPattern(smallFleet)
	for own := range 40 {
		req := sharedPrompt(own, own)
		for range 2 {
			placement, err := p.routers[0].Place(req, nil)
			must.NoError(t, err)
			must.NotNil(t, placement.Decode)
			p.routers[0].Done(req, placement.Target.Record.Target)
			p.routers[0].Done(req, placement.Decode.Record.Target)
		}
	}
}

// TestPromptsAreFetchedOnceTheyWereComputed has one engine be busy with the prompt
// that another daemon sent it, in a burst of prompts that share its beginning.
func TestPromptsAreFetchedOnceTheyWereComputed(t *testing.T) {
	const busy = ident.Target("e03")
	p := newPattern(smallFleet)
	p.knobs.FetchLeast, p.knobs.FetchRate = 1500, 200000
	req := sharedPrompt(1, 1)
	p.routers[0].Heard(&backlog.Report{Placed: []backlog.Placed{{Target: busy, Blocks: req.Prefix[:sharedBlocks], Millis: 500}}})
	p.reports[1] = backlog.Report{Outstanding: []backlog.Outstanding{{Target: busy, Other: 40000}}}
	placement, err := p.routers[0].Place(sharedPrompt(1, 2), nil)
	must.NoError(t, err)
	must.NotEq(t, busy, placement.Target.Record.Target)
	must.Nil(t, placement.Holder, must.Sprint("there is nothing to fetch yet"))
	p.now = p.now.Add(time.Second)
	other := sharedPrompt(2, 3)
	p.routers[0].Heard(&backlog.Report{Placed: []backlog.Placed{{Target: busy, Blocks: other.Prefix[:sharedBlocks], Millis: 500}}})
	p.now = p.now.Add(time.Second)
	placement, err = p.routers[0].Place(other, nil)
	must.NoError(t, err)
	must.NotEq(t, busy, placement.Target.Record.Target)
	must.NotNil(t, placement.Holder)
	must.Eq(t, busy, placement.Holder.Record.Target)
}

// TestRecentTellsComputedFromSent follows one block through its life.
func TestRecentTellsComputedFromSent(t *testing.T) {
	const keep = 12 * time.Second
	now := time.Unix(1000, 0)
	var r recent
	blocks := []uint64{1, 2, 3}
	r.add(blocks[:2], now, time.Second, keep)
	must.Eq(t, 2, r.depth(blocks, now, keep))
	must.Eq(t, 0, r.computed(blocks, now, keep))
	r.add(blocks, now.Add(500*time.Millisecond), time.Second, keep)
	now = now.Add(1200 * time.Millisecond)
	must.Eq(t, 3, r.depth(blocks, now, keep))
	must.Eq(t, 2, r.computed(blocks, now, keep), must.Sprint("what was computed first counts"))
	now = now.Add(keep)
	must.Eq(t, 0, r.depth(blocks, now, keep))
	r.add(blocks, now, time.Second, keep)
	must.Eq(t, 0, r.computed(blocks, now, keep), must.Sprint("it was dropped meanwhile"))
	var off recent
	off.add(blocks, now, 0, 0)
	must.Eq(t, 0, off.depth(blocks, now, keep))
}

// TestPromptsOfKnownPartsAreToldByTheirEnds has a prompt's report be short, and
// another daemon's prompt that shares the beginning go to the engine that holds it.
func TestPromptsOfKnownPartsAreToldByTheirEnds(t *testing.T) {
	p := newPattern(smallFleet)
	req := sharedPrompt(1, 1)
	req.PartEnds = []uint64{req.Prefix[sharedBlocks-1], req.Prefix[sharedBlocks+ownBlocks-1]}
	placement, err := p.routers[0].Place(req, nil)
	must.NoError(t, err)
	p.routers[0].Done(req, placement.Target.Record.Target)
	report := p.routers[0].Report()
	must.Len(t, 1, report.Placed)
	must.Len(t, 2, report.Placed[0].Blocks)
	p.routers[1].Heard(&report)
	p.now = p.now.Add(time.Second)
	next := sharedPrompt(1, 2)
	next.PartEnds = []uint64{next.Prefix[sharedBlocks-1]}
	again, err := p.routers[1].Place(next, nil)
	must.NoError(t, err)
	must.Eq(t, placement.Target.Record.Target, again.Target.Record.Target)
	must.Eq(t, ownBlocks*request.PrefixBlockTokens, again.Expected.Uncached)
}

// TestAnAnswerThatIsExpectedInTimeIsNotRefused has the engine that holds a prompt be
// busy for long, while the others could compute all of it within the objective.
func TestAnAnswerThatIsExpectedInTimeIsNotRefused(t *testing.T) {
	const busy = ident.Target("e03")
	p := newPattern(smallFleet)
	req := sharedPrompt(1, 1)
	p.routers[0].Heard(&backlog.Report{Placed: []backlog.Placed{{Target: busy, Blocks: req.Prefix}}})
	p.reports[1] = backlog.Report{Outstanding: []backlog.Outstanding{{Target: busy, Other: 64000}}}
	placement, err := p.routers[0].Place(req, nil)
	must.NoError(t, err)
	must.NotEq(t, busy, placement.Target.Record.Target)
	must.LessEq(t, req.FirstPart, placement.Expected.Wait+placement.Expected.Own)
}
