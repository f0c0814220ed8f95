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

// expectation is the expected result of one request to a target with a fault.
type expectation struct {
	outcome string
	runs    int
}

// TestSingleTargetFault checks, for each fault of a target, the outcome and number
// of runs of requests that must not run twice and of requests that may.
func TestSingleTargetFault(t *testing.T) {
	const answered, unknown = "answered", "unknown"
	for fault, want := range map[faulttarget.Fault]map[requestKind]expectation{
		faulttarget.None:             {write: {answered, 1}, read: {answered, 0}, chatStream: {answered, 1}, onceStream: {answered, 1}},
		faulttarget.CloseBefore:      {write: {unknown, 0}, read: {answered, 0}, chatStream: {answered, 1}, onceStream: {unknown, 0}},
		faulttarget.CloseDuring:      {write: {unknown, 0}, read: {answered, 0}, chatStream: {answered, 1}, onceStream: {unknown, 0}},
		faulttarget.CloseAfter:       {write: {unknown, 1}, read: {answered, 0}, chatStream: {answered, 1}, onceStream: {answered, 1}},
		faulttarget.Silent:           {write: {unknown, 0}, read: {answered, 0}, chatStream: {answered, 1}, onceStream: {unknown, 0}},
		faulttarget.RunSilent:        {write: {unknown, 1}, read: {answered, 0}, chatStream: {answered, 1}, onceStream: {answered, 1}},
		faulttarget.Late:             {write: {answered, 1}, read: {answered, 0}, chatWhole: {answered, 1}},
		faulttarget.WrongAttempt:     {write: {unknown, 1}, read: {answered, 0}, chatWhole: {answered, 2}, onceStream: {answered, 1}},
		faulttarget.Truncated:        {write: {unknown, 1}, read: {answered, 0}, chatStream: {answered, 1}, onceStream: {answered, 1}},
		faulttarget.NoEndMarker:      {chatStream: {answered, 1}, onceStream: {answered, 1}},
		faulttarget.SkippedEvent:     {chatStream: {answered, 1}, onceStream: {answered, 1}},
		faulttarget.TrailingResponse: {write: {answered, 1}, read: {answered, 0}, chatWhole: {answered, 1}},
		faulttarget.NoLength:         {write: {unknown, 1}, read: {answered, 0}},
		faulttarget.Draining:         {write: {answered, 0}, read: {answered, 0}, chatStream: {answered, 1}},
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
				got := send(client, k.newRequest("w"))
				must.Eq(t, e.outcome, got.outcome, note, must.Sprint(got.String()))
				must.Eq(t, e.runs, k.runs(r, "w"), note)
				if e.outcome == answered && got.status == 200 {
					must.NoError(t, got.err, note)
					must.True(t, k.isCompleteAnswer(got, "w"), note, must.Sprint(got.String()))
				}
				if e.outcome == unknown && k == write && fault != faulttarget.Silent && fault != faulttarget.RunSilent {
					must.Eq(t, began, time.Now(), note, must.Sprint("a final response was delayed"))
				}
				if e.outcome == unknown {
					must.NotEq(t, "", got.header.Get("Retry-After"), note)
				}
				for _, name := range targetsOf(r) {
					r.Faults[name].Script()
				}
				next := send(client, read.newRequest("next"))
				must.True(t, read.isCompleteAnswer(next, "next"), note, must.Sprint(next.String()))
			})
		}
	}
}

// plannedRequest is one request of the property test and its faults.
type plannedRequest struct {
	kind requestKind
	// workspace is "three" for a request with an unknown key.
	workspace ident.Workspace
	faults    []faulttarget.Fault
	after     time.Duration
}

// TestInterleavedTargetFaults sends concurrent requests while every target has
// random faults and connections go silent.
func TestInterleavedTargetFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fault := rapid.Custom(func(rt *rapid.T) faulttarget.Fault {
			return faulttarget.Fault(rapid.IntRange(0, int(faulttarget.FaultCount)-1).Draw(rt, "fault"))
		})
		plans := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) plannedRequest {
			return plannedRequest{
				kind:      requestKind(rapid.IntRange(0, int(requestKindCount)-1).Draw(rt, "kind")),
				workspace: rapid.SampledFrom([]ident.Workspace{"one", "one", "two", "three"}).Draw(rt, "workspace"),
				faults:    rapid.SliceOfN(fault, 0, 4).Draw(rt, "faults"),
				after:     time.Duration(rapid.IntRange(0, 20).Draw(rt, "after")) * time.Millisecond,
			}
		}), 1, 8).Draw(rt, "plans")
		silenceAt := time.Duration(rapid.IntRange(0, 30).Draw(rt, "silence at")) * time.Millisecond
		refuse := rapid.Bool().Draw(rt, "refuse")
		hedge := time.Duration(rapid.IntRange(0, 20).Draw(rt, "hedge")) * time.Millisecond
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = runPlans(rig.Options{HedgeAfter: hedge}, plans, silenceAt, refuse) })
		must.SliceEmpty(rt, violations)
	})
}

// runPlans runs the plans and returns the violated guarantees.
func runPlans(opts rig.Options, plans []plannedRequest, silenceAt time.Duration, refuse bool) []string {
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
	violations := make([][]string, len(plans))
	replies := make([]reply, len(plans))
	client := r.Caller()
	for i, p := range plans {
		wait.Go(func() {
			time.Sleep(p.after)
			word := fmt.Sprintf("w%d", i)
			q := p.kind.newRequest(word)
			q.Header.Set("Authorization", "Bearer "+rig.Key(p.workspace))
			replies[i] = send(client, q)
			violations[i] = replyViolations(r, p, word, replies[i])
		})
	}
	time.Sleep(silenceAt)
	r.Network.SilenceAllExcept(rig.DaemonAddress)
	wait.Wait()
	synctest.Wait()
	return append(slices.Concat(violations...), chargeViolations(r, plans, replies)...)
}

// TestInterleavingDetectsDuplicateRuns declares non-idempotent routes idempotent
// and expects the checks of TestInterleavedTargetFaults to detect the duplicate
// runs.
func TestInterleavingDetectsDuplicateRuns(t *testing.T) {
	plans := []plannedRequest{{kind: write, workspace: "one", faults: []faulttarget.Fault{faulttarget.CloseAfter}}}
	synctest.Test(t, func(t *testing.T) {
		must.SliceEmpty(t, runPlans(rig.Options{}, plans, time.Minute, false))
		must.SliceNotEmpty(t, runPlans(rig.Options{AllIdempotent: true}, plans, time.Minute, false))
	})
}

// replyViolations returns the guarantees that one reply violates.
func replyViolations(r *rig.Rig, p plannedRequest, word string, got reply) []string {
	var violations []string
	k := p.kind
	runs := k.runs(r, word)
	note := fmt.Sprintf(" (kind %d word %s runs %d reply %s)", k, word, runs, got)
	if k.mustRunOnce() && runs > 1 {
		violations = append(violations, "ran twice"+note)
	}
	if got.outcome == "not run" && runs > 0 {
		violations = append(violations, "ran, but the outcome was not run"+note)
	}
	if p.workspace == "three" && (runs > 0 || got.status != 401) {
		violations = append(violations, "ran without a valid key"+note)
	}
	if got.err == nil && got.status == 200 && !k.isCompleteAnswer(got, word) {
		violations = append(violations, "not the complete response to its own request"+note)
	}
	if got.err == nil && got.status >= 400 && got.outcome == "" {
		violations = append(violations, "no outcome"+note)
	}
	return violations
}

// chargeViolations returns an error message if a workspace was not charged exactly
// once for each of its answered requests.
func chargeViolations(r *rig.Rig, plans []plannedRequest, replies []reply) []string {
	missing := make(map[ident.Workspace]int)
	for i := range plans {
		if replies[i].err == nil && replies[i].outcome == "answered" {
			missing[plans[i].workspace]++
		}
	}
	for _, record := range r.Usage.Records() {
		missing[record.Workspace]--
	}
	for workspace, n := range missing {
		if n != 0 {
			return []string{fmt.Sprintf("workspace %s was charged %d times too few", workspace, n)}
		}
	}
	return nil
}
