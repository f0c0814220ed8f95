package load

import (
	"encoding/json"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/standin/faulttarget"
	"amaranthplank.example/amaranthplank/pkg/standin/rig"
)

// shiftingPlan returns a plan whose mix shifts halfway.
func shiftingPlan() *Plan {
	return &Plan{
		Rate: 50, Duration: 10 * time.Second, Calls: 1000, ShiftAt: 5 * time.Second, Seed: 1,
		Mix: Mix{PromptWords: 20, OutputTokens: 4, Stream: 1, Service: 0.5}, ShiftedMix: Mix{PromptWords: 2, OutputTokens: 40, Stream: 1},
	}
}

func TestPlanIsReproducibleAtItsRate(t *testing.T) {
	calls := slices.Collect(shiftingPlan().All())
	must.Eq(t, calls, slices.Collect(shiftingPlan().All()))
	must.Between(t, 400, len(calls), 600)
	for _, call := range calls {
		must.Eq(t, call.At >= 5*time.Second, call.Shifted)
	}
	must.Error(t, (&Plan{Rate: 1e9, Duration: 1, Calls: 1}).Check())
}

func TestRunReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, err := rig.New(rig.Options{Engines: 1, Ledgers: 1, TokenInterval: 10 * time.Millisecond})
		must.NoError(t, err)
		defer r.Close()
		r.Faults["ledger-1"].Script(faulttarget.CloseAfter)
		caller := &Caller{
			Client: r.Caller(), URL: "http://" + rig.DaemonAddress, Key: rig.Key("one"), Model: string(rig.Model),
			ServicePath: "/services/ledger/balances/rice",
		}
		report := Run(t.Context(), shiftingPlan(), caller).Finish()
		must.Eq(t, report.Before.Calls, report.Before.Outcomes[request.Answered])
		must.Eq(t, report.After.Calls, report.After.Outcomes[request.Answered])
		must.Between(t, 9.9, report.After.TokenGap.P50, 10.1)
		must.Between(t, 200, report.After.Total.P50, 600)
		must.Between(t, 20, report.Before.Total.P95, 100)
		text, err := json.Marshal(report)
		must.NoError(t, err)
		must.StrContains(t, string(text), `"p99"`)
		caller.Key = "wrong"
		must.Eq(t, "not run", Run(t.Context(), &Plan{Rate: 1, Duration: time.Minute, Calls: 1, Mix: shiftingPlan().Mix, ShiftedMix: shiftingPlan().Mix}, caller).Before.onlyOutcome())
	})
}

// onlyOutcome returns the outcome in results of one call.
func (m *MixResults) onlyOutcome() string {
	for outcome := range m.Outcomes {
		return string(outcome)
	}
	return ""
}
