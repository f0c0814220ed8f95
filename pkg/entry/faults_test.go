package entry_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/standin/faulttarget"
	"amaranthplank.example/amaranthplank/pkg/standin/rig"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

// expected is what one fault of a target leads to.
type expected struct {
	outcome string
	runs    int
}

// TestOneFault states for each fault what becomes of a request that must not
// run twice, and of one that may.
func TestOneFault(t *testing.T) {
	const answered, unknown = "answered", "unknown"
	for fault, want := range map[faulttarget.Fault]map[kind]expected{
		faulttarget.None:        {write: {answered, 1}, read: {answered, 0}, chatStream: {answered, 1}, onceStream: {answered, 1}},
		faulttarget.CloseBefore: {write: {unknown, 0}, read: {answered, 0}, chatStream: {answered, 1}, onceStream: {unknown, 0}},
		faulttarget.CloseWhile:  {write: {unknown, 0}, read: {answered, 0}, chatStream: {answered, 1}, onceStream: {unknown, 0}},
		faulttarget.CloseAfter:  {write: {unknown, 1}, read: {answered, 0}, chatStream: {answered, 1}, onceStream: {answered, 1}},
		faulttarget.Silent:      {write: {unknown, 0}, read: {answered, 0}, chatStream: {answered, 1}, onceStream: {unknown, 0}},
		faulttarget.RunSilent:   {write: {unknown, 1}, read: {answered, 0}, chatStream: {answered, 1}, onceStream: {answered, 1}},
		faulttarget.Late:        {write: {answered, 1}, read: {answered, 0}, chatWhole: {answered, 1}},
		faulttarget.Crossed:     {write: {unknown, 1}, read: {answered, 0}, chatWhole: {answered, 2}, onceStream: {answered, 1}},
		faulttarget.Cut:         {write: {unknown, 1}, read: {answered, 0}, chatStream: {answered, 1}, onceStream: {answered, 1}},
		faulttarget.NoEnd:       {chatStream: {answered, 1}, onceStream: {answered, 1}},
		faulttarget.Skipped:     {chatStream: {answered, 1}, onceStream: {answered, 1}},
		faulttarget.TooMuch:     {write: {answered, 1}, read: {answered, 0}, chatWhole: {answered, 1}},
		faulttarget.NoLength:    {write: {unknown, 1}, read: {answered, 0}},
		faulttarget.Draining:    {write: {answered, 0}, read: {answered, 0}, chatStream: {answered, 1}},
	} {
		for k, e := range want {
			inFakeTime(t, rig.Options{Engines: 2, Ledgers: 2}, func(t *testing.T, r *rig.Rig) {
				for _, name := range targetsOf(r) {
					if name == "engine-1" || name == "ledger-1" {
						r.Faults[name].Script(fault)
					}
				}
				began := time.Now()
				client, note := r.Caller(), must.Sprint("fault", fault, "kind", k)
				got := send(client, k.make("w"))
				must.Eq(t, e.outcome, got.outcome, note, must.Sprint(got.String()))
				must.Eq(t, e.runs, k.runs(r, "w"), note)
				if e.outcome == answered && got.status == 200 {
					must.NoError(t, got.err, note)
					must.True(t, k.wholeAnswer(got, "w"), note, must.Sprint(got.String()))
				}
				if e.outcome == unknown && k == write && fault != faulttarget.Silent && fault != faulttarget.RunSilent {
					must.Eq(t, began, time.Now(), note, must.Sprint("a final answer was held back"))
				}
				if e.outcome == unknown {
					must.NotEq(t, "", got.header.Get("Retry-After"), note)
				}
				for _, name := range targetsOf(r) {
					r.Faults[name].Script()
				}
				next := send(client, read.make("next"))
				must.True(t, read.wholeAnswer(next, "next"), note, must.Sprint(next.String()))
			})
		}
	}
}

// plan is one request of the property test with its faults.
type plan struct {
	kind kind
	// workspace is "three" for a key that nobody has.
	workspace ident.Workspace
	faults    []faulttarget.Fault
	after     time.Duration
}

// TestAnyInterleavingOfFaults sends requests at once while every target has
// drawn faults and connections go silent.
func TestAnyInterleavingOfFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fault := rapid.Custom(func(rt *rapid.T) faulttarget.Fault {
			return faulttarget.Fault(rapid.IntRange(0, int(faulttarget.Faults)-1).Draw(rt, "fault"))
		})
		plans := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) plan {
			return plan{
				kind:      kind(rapid.IntRange(0, int(kinds)-1).Draw(rt, "kind")),
				workspace: rapid.SampledFrom([]ident.Workspace{"one", "one", "two", "three"}).Draw(rt, "workspace"),
				faults:    rapid.SliceOfN(fault, 0, 4).Draw(rt, "faults"),
				after:     time.Duration(rapid.IntRange(0, 20).Draw(rt, "after")) * time.Millisecond,
			}
		}), 1, 8).Draw(rt, "plans")
		silenceAt := time.Duration(rapid.IntRange(0, 30).Draw(rt, "silence at")) * time.Millisecond
		refuse := rapid.Bool().Draw(rt, "refuse")
		hedge := time.Duration(rapid.IntRange(0, 20).Draw(rt, "hedge")) * time.Millisecond
		var broken []string
		synctest.Test(t, func(*testing.T) { broken = interleave(rig.Options{Hedge: hedge}, plans, silenceAt, refuse) })
		must.SliceEmpty(rt, broken)
	})
}

// interleave runs the plans and returns the promises that were broken.
func interleave(opts rig.Options, plans []plan, silenceAt time.Duration, refuse bool) []string {
	opts.Engines, opts.Ledgers = 2, 2
	r, err := rig.New(opts)
	if err != nil {
		return []string{err.Error()}
	}
	defer r.Close()
	names := slices.Sorted(slices.Values(targetsOf(r)))
	for i, name := range names {
		var script []faulttarget.Fault
		for j := range plans {
			script = append(script, plans[(i+j)%len(plans)].faults...)
		}
		r.Faults[name].Script(script...)
	}
	r.Network.Refuse(string(names[0])+":80", refuse)
	var wait sync.WaitGroup
	broken := make([][]string, len(plans))
	replies := make([]reply, len(plans))
	client := r.Caller()
	for i, p := range plans {
		wait.Go(func() {
			time.Sleep(p.after)
			word := fmt.Sprintf("w%d", i)
			q := p.kind.make(word)
			q.Header.Set("Authorization", "Bearer "+rig.Key(p.workspace))
			replies[i] = send(client, q)
			broken[i] = judge(r, p, word, replies[i])
		})
	}
	time.Sleep(silenceAt)
	r.Network.SilenceTargets(rig.DaemonAddress)
	wait.Wait()
	synctest.Wait()
	return append(slices.Concat(broken...), charges(r, plans, replies)...)
}

// TestInterleavingFindsWhatRunsTwice breaks the declaration of the routes and
// sees the same check find it.
func TestInterleavingFindsWhatRunsTwice(t *testing.T) {
	plans := []plan{{kind: write, workspace: "one", faults: []faulttarget.Fault{faulttarget.CloseAfter}}}
	synctest.Test(t, func(t *testing.T) {
		must.SliceEmpty(t, interleave(rig.Options{}, plans, time.Minute, false))
		must.SliceNotEmpty(t, interleave(rig.Options{Misdeclared: true}, plans, time.Minute, false))
	})
}

// judge returns the promises that one reply broke.
func judge(r *rig.Rig, p plan, word string, got reply) []string {
	var broken []string
	k := p.kind
	runs := k.runs(r, word)
	note := fmt.Sprintf(" (kind %d word %s runs %d reply %s)", k, word, runs, got)
	if k.once() && runs > 1 {
		broken = append(broken, "ran twice"+note)
	}
	if got.outcome == "not run" && runs > 0 {
		broken = append(broken, "ran, though not run was said"+note)
	}
	if p.workspace == "three" && (runs > 0 || got.status != 401) {
		broken = append(broken, "ran without a valid key"+note)
	}
	if got.err == nil && got.status == 200 && !k.wholeAnswer(got, word) {
		broken = append(broken, "not the whole answer to its own request"+note)
	}
	if got.err == nil && got.status >= 400 && got.outcome == "" {
		broken = append(broken, "no outcome"+note)
	}
	return broken
}

// charges returns whether a workspace was charged otherwise than once for each
// of its answers.
func charges(r *rig.Rig, plans []plan, replies []reply) []string {
	owed := make(map[ident.Workspace]int)
	for i := range plans {
		if replies[i].err == nil && replies[i].outcome == "answered" {
			owed[plans[i].workspace]++
		}
	}
	for _, record := range r.Usage.Records() {
		owed[record.Workspace]--
	}
	for workspace, n := range owed {
		if n != 0 {
			return []string{fmt.Sprintf("workspace %s was charged %d times too few", workspace, n)}
		}
	}
	return nil
}
