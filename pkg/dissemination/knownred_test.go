//go:build knownred

package dissemination

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestKnownRedEveryOfManyDaemonsKeepsTheBytes applies the traffic bound to the
// daemon that sends or receives the most, where TestManyDaemonsStayWithinBounds
// applies it to the mean.
func TestKnownRedEveryOfManyDaemonsKeepsTheBytes(t *testing.T) {
	r := measure(newFleet(330, Trees{4}, 1), scenario{loss: 0.05, restarts: 0.1}, time.Minute)
	must.LessEq(t, maxControlBytes, r.worst)
}
