//go:build knownred

package gateway

import (
	"testing"
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
