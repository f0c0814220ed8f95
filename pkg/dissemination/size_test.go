//go:build !race

package dissemination

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestManyDaemonsStayWithinBounds is excluded under the race detector, where
// simulating so many nodes takes minutes.
func TestManyDaemonsStayWithinBounds(t *testing.T) {
	r := measure(newFleet(330, Trees{4}, 1), scenario{loss: 0.05, restarts: 0.1}, time.Minute)
	t.Log(r.String())
	must.LessEq(t, maxChangeDelay, r.worstChange())
	must.LessEq(t, maxControlBytes, r.sent)
}
