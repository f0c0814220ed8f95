//go:build knownred

package gateway

import (
	"testing"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/retry"
)

// TestKnownRedRestartsDuringCutsGiveLargerBursts guards against retries beyond the
// fleet's limit when daemons restart while the fleet is cut into two parts: a restarted
// daemon counts only those of its own part.
func TestKnownRedRestartsDuringCutsGiveLargerBursts(t *testing.T) {
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

// TestKnownRedManyDaemonsRetry guards against fleets in which no failure is ever retried:
// a bucket whose burst is below one never holds a whole retry, whatever requests add.
func TestKnownRedManyDaemonsRetry(t *testing.T) {
	shares := newRetryShares(timeOf(0), 0)
	budget := retry.NewBudget(shares.share(&simLimits, 330, timeOf(1000)), timeOf(1000))
	granted := 0
	for range 1000 {
		budget.Deposit()
		if budget.Withdraw() {
			granted++
		}
	}
	must.Positive(t, granted)
}
