package gateway

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/presence"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/tally"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

// TestStoredHostsDivideTheSlack guards against a process that starts within a part of a
// fleet that is cut, sees nobody else and takes the whole slack.
func TestStoredHostsDivideTheSlack(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	g := &Gateway{
		opts: Options{Log: log}, presence: presence.NewView("host-0", log), standbyWriter: tally.NewStandbyWriter(nil, log),
		retryShares: newRetryShares(time.Now(), time.Second), shareLog: &shareLog{log: log},
	}
	g.ApplyLimits(simLimits)
	var stored []external.Entry
	for i := range 8 {
		stored = append(stored, external.Entry{Key: tally.CheckpointPrefix + external.Key(fmt.Sprint("host-", i, "/1")), Version: 1})
	}
	tally.NewCheckpointMemory(g.standbyWriter, log).Apply(stored, true, time.Now())
	_, share := g.retryBudget(&request.Request{Service: "s"})
	must.Eq(t, retryMargin*simLimits.RetrySlack/8, share.Burst)
}

// TestRestartsDuringRandomCutsGiveNoLargerBursts is TestRestartsDuringCutsGiveNoLargerBursts
// with random fleets, cuts and restarts.
func TestRestartsDuringRandomCutsGiveNoLargerBursts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSim(t)
		s.apart = rapid.IntRange(1, len(s.daemons)-1).Draw(t, "apart")
		from := rapid.IntRange(0, simSteps/2).Draw(t, "cut")
		s.cut = [2]int{from, from + rapid.IntRange(presenceSteps, simSteps).Draw(t, "cut length")}
		for i := range s.daemons {
			if rapid.Bool().Draw(t, "restarts") {
				step := rapid.IntRange(1, simSteps).Draw(t, "restart")
				s.kills[i] = append(s.kills[i], [2]int{step, rapid.IntRange(1, 20).Draw(t, "down")})
			}
		}
		s.run()
		s.check(t)
	})
}
