package config

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
)

const (
	// storeReads is the store's bound on reads in a second, and fleetSize the
	// count of daemons to design for.
	storeReads = 2000
	fleetSize  = 330
	// readShare is the share of the store's reads that the configuration may
	// take at that size.
	readShare = 0.2
)

// callsOf sums the calls of the control state so far.
func callsOf(w *world) faultstore.Counts {
	var sum faultstore.Counts
	for _, n := range w.nodes {
		counts := n.store.Counts()["config"]
		sum.Reads += counts.Reads
		sum.Writes += counts.Writes
		sum.Watches += counts.Watches
	}
	return sum
}

func TestStoreCallsAtSize(t *testing.T) {
	for _, hosts := range []int{8, 32, 128} {
		synctest.Test(t, func(t *testing.T) {
			const span = 30 * time.Second
			w := newWorld(t.Context(), hosts)
			time.Sleep(10 * time.Second)
			before := callsOf(w)
			time.Sleep(span)
			steady := callsOf(w)
			perSecond := float64(steady.Reads-before.Reads) / span.Seconds()
			w.part(func(i int) bool { return i%2 == 0 })
			time.Sleep(5 * time.Second)
			alone := callsOf(w)
			time.Sleep(span)
			parted := float64(callsOf(w).Reads-alone.Reads) / span.Seconds()
			t.Logf("%d daemons: %.1f reads/s (%.2f watches/s among them), %.1f writes/s; halves apart: %.1f reads/s",
				hosts, perSecond, float64(steady.Watches-before.Watches)/span.Seconds(),
				float64(steady.Writes-before.Writes)/span.Seconds(), parted)
			must.LessEq(t, readShare*storeReads, perSecond/float64(hosts)*fleetSize)
			must.LessEq(t, readShare*storeReads, parted/float64(hosts)*fleetSize)
			w.stop()
		})
	}
}

func TestSecondsFromApplyToInForce(t *testing.T) {
	for _, hosts := range []int{8, 32} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t.Context(), hosts)
			time.Sleep(5 * time.Second)
			inForce, accepted := hdrhistogram.New(1, 60_000, 3), hdrhistogram.New(1, 60_000, 3)
			for i := range 50 {
				start := time.Now()
				n := w.nodes[i%hosts]
				done := make(chan Applied)
				go func() {
					applied, err := n.applier.Apply(t.Context(), n.manager.Revisions().Config, fmt.Appendf(nil, `{"models": [{"name": "m", "version": "%d"}]}`, i))
					must.NoError(t, err)
					must.NoError(t, accepted.RecordValue(time.Since(start).Milliseconds()))
					done <- applied
				}()
				for slowest(w) < uint64(n.manager.Revisions().Config) || time.Since(start) < 20*time.Millisecond {
					time.Sleep(10 * time.Millisecond)
				}
				must.NoError(t, inForce.RecordValue(max(1, time.Since(start).Milliseconds())))
				<-done
			}
			t.Logf("%d daemons: in force everywhere p50 %d ms, p99 %d ms; accepted p50 %d ms, p99 %d ms", hosts,
				inForce.ValueAtQuantile(50), inForce.ValueAtQuantile(99), accepted.ValueAtQuantile(50), accepted.ValueAtQuantile(99))
			must.LessEq(t, 3000, accepted.ValueAtQuantile(99))
			w.stop()
		})
	}
}

// slowest returns the lowest revision that a daemon has loaded.
func slowest(w *world) (least uint64) {
	least = 1 << 62
	for _, n := range w.nodes {
		least = min(least, uint64(n.manager.Revisions().Config))
	}
	return least
}
