package streamorigin

import (
	"flag"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
)

var (
	// drawnOrders is how many orders of events TestDrawnOrders plays, and firstOrder the seed
	// of the first.
	drawnOrders = flag.Int("orders", 40, "how many orders of events TestDrawnOrders plays")
	firstOrder  = flag.Int("order", 0, "the seed of the first order")
)

// TestDrawnOrders guards against streams that go on at another software version in orders of
// events that nobody has thought of: targets of several versions of a model and a service come
// and go, daemons are killed, all at once too, cut off from each other or from changes of the
// store, the store is away or comes back from a copy, and timeouts change. Draw more by
// go test -run DrawnOrders ./pkg/streamorigin -orders 2000.
func TestDrawnOrders(t *testing.T) {
	begun, takenUp, wentOn := 0, 0, 0
	for seed := *firstOrder; seed < *firstOrder+*drawnOrders; seed++ {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(seed), 48))
			memory := memstore.New(clock.NewRuntime())
			o := &drawnOrder{
				t: t, random: random, memory: memory, store: &countingStore{Store: memory}, targets: make(map[string]*drawnTarget),
				daemons: make([]*drawnDaemon, 2+random.IntN(7)),
			}
			o.timeout.Store(int64(3 * time.Second))
			o.play()
			if o.mixed > 0 {
				t.Errorf("seed %d: %d of %d streams that went on are mixed, with %d daemons", seed, o.mixed, o.wentOn, len(o.daemons))
			}
			begun, takenUp, wentOn = begun+o.begun, takenUp+o.takenUp, wentOn+o.wentOn
		})
	}
	t.Logf("%d orders: %d streams begun, %d tries to take one up, %d went on", *drawnOrders, begun, takenUp, wentOn)
	must.Positive(t, wentOn)
}
