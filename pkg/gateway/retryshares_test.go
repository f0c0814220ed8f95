package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/retry"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

const (
	// simStep is the length of a step, simSteps the number of steps.
	simStep  = 100 * time.Millisecond
	simSteps = 600
	// simAttempts is the number of attempts that a request makes if all fail.
	simAttempts = 4
	// presenceSteps is how long a daemon that ended is counted, in steps.
	presenceSteps = 90
)

// simLimits are the limits of the simulated fleet.
var simLimits = Limits{RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second}

// simDaemon is a daemon of which only the retry budget is simulated.
type simDaemon struct {
	// rate is the number of requests in each step.
	rate float64
	// due is the part of a request that is left over from earlier steps.
	due     float64
	budgets *retry.Budgets
	shares  *retryShares
	// downUntil is the step at which the daemon starts again, downSince when it ended.
	downSince, downUntil int
	// reducedAt and restoredAt are the steps from which and up to which the daemon
	// has settings with half of the limits.
	reducedAt, restoredAt int
}

// limits returns the limits in a daemon's settings.
func (d *simDaemon) limits(step int) *Limits {
	limits := simLimits
	if step >= d.reducedAt && step < d.restoredAt {
		limits.RetryRatio, limits.RetrySlack = limits.RetryRatio/2, limits.RetrySlack/2
	}
	return &limits
}

// retrySim simulates a fleet whose daemons retry each failed request for as long as
// their budgets allow it. All requests fail within the storms.
type retrySim struct {
	daemons []*simDaemon
	storms  [][2]int
	// kills are the steps at which daemons end, by daemon; each is down for the
	// number of steps beside it.
	kills [][][2]int
	// apart is the number of daemons, from the first on, that a cut separates from
	// the others, cut the steps from which on and up to which it does.
	apart int
	cut   [2]int
	// joinLag is the number of steps after which the others see a started daemon.
	joinLag int
	// requests and repeats are the fleet's counts for each step.
	requests, repeats []int
}

// timeOf returns the time of a step.
func timeOf(step int) time.Time { return time.Unix(1000, 0).Add(time.Duration(step) * simStep) }

// start starts a process of the daemon.
func (d *simDaemon) start(step int) {
	d.budgets, d.due = retry.NewBudgets(nil), 0
	d.shares = newRetryShares(timeOf(step), time.Second)
}

// run simulates all steps.
func (s *retrySim) run() {
	s.requests, s.repeats = make([]int, simSteps), make([]int, simSteps)
	for _, d := range s.daemons {
		d.start(0)
	}
	for step := range simSteps {
		for i, d := range s.daemons {
			s.restart(i, step)
			if d.downUntil <= step {
				s.serve(i, step)
			}
		}
	}
}

// restart ends and starts a daemon as planned.
func (s *retrySim) restart(i, step int) {
	d := s.daemons[i]
	for _, kill := range s.kills[i] {
		if kill[0] == step {
			d.downSince, d.downUntil = step, step+kill[1]
		}
	}
	if d.downUntil == step && step > 0 {
		d.start(step)
	}
}

// view returns how many daemons one of them counts: each that it can see or saw within
// the time for which one that ended is counted.
func (s *retrySim) view(self, step int) (count int) {
	for i, d := range s.daemons {
		up := d.downUntil+s.joinLag <= step || step < d.downSince+presenceSteps || i == self
		separated := (i < s.apart) != (self < s.apart) && step >= s.cut[0]+presenceSteps && step < s.cut[1]
		if up && !separated {
			count++
		}
	}
	return max(count, s.storedHosts(step))
}

// storedHosts returns the number of daemons with a checkpoint in the store. It keeps
// those of daemons that ended or are cut off for longer than the simulated time.
func (s *retrySim) storedHosts(step int) (count int) {
	for _, d := range s.daemons {
		if d.downSince > 0 || d.downUntil+s.joinLag <= step {
			count++
		}
	}
	return count
}

// serve handles one daemon's requests of one step.
func (s *retrySim) serve(i, step int) {
	d := s.daemons[i]
	for d.due += d.rate; d.due >= 1; d.due-- {
		budget := d.budgets.For("m", d.shares.share(d.limits(step), s.view(i, step), timeOf(step)), timeOf(step))
		budget.Deposit()
		s.requests[step]++
		for attempt := 1; attempt < simAttempts && s.fails(step) && budget.Withdraw(); attempt++ {
			s.repeats[step]++
		}
	}
}

// fails reports whether requests fail in a step.
func (s *retrySim) fails(step int) bool {
	for _, storm := range s.storms {
		if step >= storm[0] && step < storm[1] {
			return true
		}
	}
	return false
}

// check compares the repeats in every window with the limit of the fleet. The requests
// are those of the window, of the one before it or of the one half a window before it.
func (s *retrySim) check(t must.T) {
	window := int(simLimits.RetryWindow / simStep)
	for from := range simSteps - window {
		requests := sum(s.requests, from, from+window)
		requests = max(requests, sum(s.requests, from-window, from), sum(s.requests, from-window/2, from+window/2))
		allowed := int(simLimits.RetryRatio*float64(requests) + simLimits.RetrySlack)
		must.LessEq(t, allowed, sum(s.repeats, from, from+window), must.Sprintf("from step %d, %d requests", from, requests))
	}
}

// sum adds the counts from one step up to another.
func sum(counts []int, from, to int) (total int) {
	for _, n := range counts[max(0, from):max(0, to)] {
		total += n
	}
	return total
}

// drawSim draws a fleet with its load and the times at which requests fail.
func drawSim(t *rapid.T) *retrySim {
	s := &retrySim{}
	for range rapid.IntRange(2, 12).Draw(t, "daemons") {
		s.daemons = append(s.daemons, &simDaemon{rate: rapid.Float64Range(0.05, 3).Draw(t, "rate")})
	}
	s.kills = make([][][2]int, len(s.daemons))
	for range rapid.IntRange(1, 3).Draw(t, "storms") {
		from := rapid.IntRange(0, simSteps).Draw(t, "storm")
		s.storms = append(s.storms, [2]int{from, from + rapid.IntRange(1, 300).Draw(t, "length")})
	}
	return s
}

// TestKillsInSeriesGiveNoNewBursts guards against retries beyond the fleet's limit when
// daemons are killed in quick succession: each successor must not have a burst again
// that its predecessor may have used within the same window.
func TestKillsInSeriesGiveNoNewBursts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSim(t)
		for range rapid.IntRange(1, 3).Draw(t, "rounds") {
			step := rapid.IntRange(1, simSteps).Draw(t, "first kill")
			for i := range s.daemons {
				step += rapid.IntRange(0, 8).Draw(t, "gap")
				s.kills[i] = append(s.kills[i], [2]int{step, rapid.IntRange(1, 20).Draw(t, "down")})
			}
		}
		s.run()
		s.check(t)
	})
}

// TestCutsGiveNoLargerBursts guards against retries beyond the fleet's limit while a
// part of the daemons is cut off: both parts serve on, and none may take over the
// share of daemons that it no longer sees.
func TestCutsGiveNoLargerBursts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSim(t)
		s.apart = rapid.IntRange(1, len(s.daemons)-1).Draw(t, "apart")
		from := rapid.IntRange(0, simSteps).Draw(t, "cut")
		s.cut = [2]int{from, from + rapid.IntRange(1, simSteps).Draw(t, "cut length")}
		s.run()
		s.check(t)
	})
}

// TestRestartsDuringCutsGiveNoLargerBursts guards against retries beyond the fleet's
// limit when daemons restart while the fleet is cut into two parts: a restarted daemon
// sees only those of its own part.
func TestRestartsDuringCutsGiveNoLargerBursts(t *testing.T) {
	s := &retrySim{kills: make([][][2]int, 8), storms: [][2]int{{400, 600}}, apart: 4, cut: [2]int{20, simSteps}}
	for i := range s.kills {
		s.daemons = append(s.daemons, &simDaemon{rate: 0.1})
		if i < s.apart {
			s.kills[i] = append(s.kills[i], [2]int{200, 5})
		}
	}
	s.run()
	s.check(t)
}

// TestChangesOfTheFleetGiveNoLargerBursts guards against retries beyond the fleet's
// limit while daemons are added, which the others see late, while some go for good and
// while daemons take changed settings at different times.
func TestChangesOfTheFleetGiveNoLargerBursts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSim(t)
		s.joinLag = rapid.IntRange(0, 10).Draw(t, "join lag")
		step := rapid.IntRange(1, simSteps).Draw(t, "change")
		for i, d := range s.daemons {
			d.reducedAt = step + rapid.IntRange(0, 30).Draw(t, "reduced")
			d.restoredAt = d.reducedAt + rapid.IntRange(0, 200).Draw(t, "restored")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				d.downSince, d.downUntil = -presenceSteps, step+rapid.IntRange(0, 20).Draw(t, "joins")
			case 1:
				s.kills[i] = append(s.kills[i], [2]int{step, simSteps})
			}
		}
		s.run()
		s.check(t)
	})
}

// TestServiceThatBecomesModelKeepsItsBudget guards against a second burst within one
// window when a change of the configuration gives a service an engine or takes it away.
func TestServiceThatBecomesModelKeepsItsBudget(t *testing.T) {
	budgets := retry.NewBudgets(nil)
	share := retry.Share{Ratio: 0.1, Burst: 2}
	service := budgets.For(retryBudgetKey(&request.Request{Service: "a"}), share, timeOf(0))
	for service.Withdraw() {
	}
	model := budgets.For(retryBudgetKey(&request.Request{Model: "a"}), share, timeOf(1))
	must.False(t, model.Withdraw())
}

// TestPeakCountForgetsAfterItsPeriod guards against a share that stays small for ever
// after daemons have gone for good.
func TestPeakCountForgetsAfterItsPeriod(t *testing.T) {
	p := peakCount{period: time.Minute}
	must.Eq(t, 8, p.observe(8, timeOf(0)))
	must.Eq(t, 8, p.observe(5, timeOf(1000)))
	must.Eq(t, 8, p.observe(3, timeOf(1300)))
	must.Eq(t, 8, p.observe(4, timeOf(1600)))
	must.Eq(t, 5, p.observe(4, timeOf(1601)))
	must.Eq(t, 4, p.observe(4, timeOf(1901)))
	must.Eq(t, 9, p.observe(9, timeOf(1902)))
	must.Eq(t, 9, p.observe(1, timeOf(9000)))
}

// TestQuietDaemonRetriesSingleFailures guards against budgets that are too empty for
// the failures of a quiet time: one daemon of eight that has served a request a second
// for a minute can retry a few failures in a row.
func TestQuietDaemonRetriesSingleFailures(t *testing.T) {
	d := &simDaemon{}
	d.start(0)
	var budget *retry.Budget
	for second := range 60 {
		budget = d.budgets.For("m", d.shares.share(&simLimits, 8, timeOf(10*second)), timeOf(10*second))
		budget.Deposit()
	}
	for range 5 {
		must.True(t, budget.Withdraw())
	}
}
