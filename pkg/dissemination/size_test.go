//go:build !race

package dissemination

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestManyDaemonsKeepTheBounds runs without the race detector, under which so
// many nodes take minutes.
func TestManyDaemonsKeepTheBounds(t *testing.T) {
	r := measure(newFleet(330, Trees{4}, 1), scenario{loss: 0.05, restarts: 0.1}, time.Minute)
	t.Log(r.String())
	must.LessEq(t, maxChange, r.worstChange())
	must.LessEq(t, maxControlBytes, r.sent)
}
