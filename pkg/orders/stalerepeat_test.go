package orders

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/target"
)

func TestStaleViewDoesNotRepeatOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	order := target.Order{Kind: target.OrderLoad, Model: "m", Version: "2"}
	done := Record{Phase: PhaseDone, Order: order, WrittenAt: now}
	done.Order.OrderID = "first"
	old := &fleet.TargetState{Load: fleet.LoadReport{OrderID: "before", Version: "1"}}
	must.True(t, isStaleRepeat(done, order, old, now.Add(time.Second)))
	must.False(t, isStaleRepeat(done, order, old, now.Add(repeatAfter)))
	seen := &fleet.TargetState{Load: fleet.LoadReport{OrderID: "first", Version: "1"}}
	must.False(t, isStaleRepeat(done, order, seen, now.Add(time.Second)))
	other := order
	other.Version = "3"
	must.False(t, isStaleRepeat(done, other, old, now.Add(time.Second)))
}
