package dissemination

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// maxChangeDelay and maxControlBytes are the bounds that the system
	// guarantees: on the time until a change of the control state has reached
	// every daemon, and on the control traffic of one daemon per second.
	maxChangeDelay  = 3 * time.Second
	maxControlBytes = 8 << 10
)

func TestEightDaemonsStayWithinBounds(t *testing.T) {
	r := measure(newFleet(8, Flat{}, 1), scenario{loss: 0.05, restarts: 1.0 / 8}, time.Minute)
	t.Log(r.String())
	must.LessEq(t, maxChangeDelay, r.worstChange())
	must.LessEq(t, maxControlBytes, r.worst)
}

func TestBoundsDetectDeadLinksAndCostlyStrategies(t *testing.T) {
	dead := measure(newFleet(8, Flat{}, 1), scenario{loss: 1}, 10*time.Second)
	must.Greater(t, maxChangeDelay, dead.worstChange())
	costly := measure(newFleet(16, Epidemic{8, 8}, 1), scenario{}, 5*time.Second)
	must.Greater(t, maxControlBytes, costly.worst)
}
