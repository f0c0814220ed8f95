package gateway

import (
	"testing"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/retry"
)

// manyDaemons is the size that the project is designed for, of which each daemon's part
// of the slack is far below one.
const manyDaemons = 330

// TestManyDaemonsRetry guards against fleets in which no failure is ever retried:
// a bucket whose burst is below one never holds a whole retry, whatever requests add.
func TestManyDaemonsRetry(t *testing.T) {
	shares := newRetryShares(timeOf(0), 0)
	budget := retry.NewBudget(shares.share(&simLimits, manyDaemons, timeOf(1000)), timeOf(1000))
	granted := 0
	for range 1000 {
		budget.Deposit()
		if budget.Withdraw() {
			granted++
		}
	}
	must.Positive(t, granted)
}

// manySim returns a large fleet in which each daemon has the given requests in each
// step, and all fail for half of the time.
func manySim(rate float64) *retrySim {
	s := &retrySim{kills: make([][][2]int, manyDaemons), storms: [][2]int{{150, 151}, {300, 600}}}
	for range manyDaemons {
		s.daemons = append(s.daemons, &simDaemon{rate: rate})
	}
	return s
}

// TestManyDaemonsKeepToTheLimit guards against retries beyond the limit of a fleet whose
// daemons each may retry though their part of the slack is below one: in a sudden failure
// of everything, with daemons that restart in a series, and while the fleet is cut in two
// halves of which one restarts.
func TestManyDaemonsKeepToTheLimit(t *testing.T) {
	for _, rate := range []float64{0.02, 0.1, 0.5} {
		for name, change := range map[string]func(s *retrySim){
			"storm": func(*retrySim) {},
			"kills": func(s *retrySim) {
				for i := range s.kills {
					s.kills[i] = append(s.kills[i], [2]int{250 + i/4, 3}, [2]int{400 + i/4, 3})
				}
			},
			"cut": func(s *retrySim) {
				s.apart, s.cut = manyDaemons/2, [2]int{20, simSteps}
				for i := range s.apart {
					s.kills[i] = append(s.kills[i], [2]int{200, 5})
				}
			},
		} {
			s := manySim(rate)
			change(s)
			s.run()
			s.check(t)
			must.Eq(t, rate > 0.1, sum(s.repeats, 0, simSteps) > 0, must.Sprint(name, rate))
		}
	}
}
