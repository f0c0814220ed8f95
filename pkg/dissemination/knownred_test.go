//go:build knownred

package dissemination

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestKnownRedEveryOfManyDaemonsKeepsTheBytes holds the daemon that sends or
// gets the most to the bound, not the mean.
func TestKnownRedEveryOfManyDaemonsKeepsTheBytes(t *testing.T) {
	r := measure(newFleet(330, Trees{4}, 1), scenario{loss: 0.05, restarts: 0.1}, time.Minute)
	must.LessEq(t, maxControlBytes, r.worst)
}
