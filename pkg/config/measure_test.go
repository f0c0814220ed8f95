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
	// maxStoreReadRate is the store's limit on reads per second, and fleetSize
	// the number of daemons that the system must support.
	maxStoreReadRate = 2000
	fleetSize        = 330
	// maxReadShare is the share of the store's reads that the configuration may
	// use at that size.
	maxReadShare = 0.2
)

// sumStoreCalls sums the store calls made for the control state so far.
func sumStoreCalls(c *testCluster) faultstore.Counts {
	var sum faultstore.Counts
	for _, n := range c.nodes {
		counts := n.store.Counts()["config"]
		sum.Reads += counts.Reads
		sum.Writes += counts.Writes
		sum.Watches += counts.Watches
	}
	return sum
}

// TestStoreReadRateAtFleetSize extrapolates the rate of store reads, both with all
// daemons connected and with two halves partitioned, to fleetSize daemons.
func TestStoreReadRateAtFleetSize(t *testing.T) {
	for _, hosts := range []int{8, 32, 128} {
		synctest.Test(t, func(t *testing.T) {
			const span = 30 * time.Second
			c := newTestCluster(t.Context(), hosts)
			time.Sleep(10 * time.Second)
			before := sumStoreCalls(c)
			time.Sleep(span)
			steady := sumStoreCalls(c)
			perSecond := float64(steady.Reads-before.Reads) / span.Seconds()
			c.partition(func(i int) bool { return i%2 == 0 })
			time.Sleep(5 * time.Second)
			partitionStart := sumStoreCalls(c)
			time.Sleep(span)
			partitionedPerSecond := float64(sumStoreCalls(c).Reads-partitionStart.Reads) / span.Seconds()
			t.Logf("%d daemons: %.1f reads/s (%.2f watches/s among them), %.1f writes/s; partitioned in half: %.1f reads/s",
				hosts, perSecond, float64(steady.Watches-before.Watches)/span.Seconds(),
				float64(steady.Writes-before.Writes)/span.Seconds(), partitionedPerSecond)
			must.LessEq(t, maxReadShare*maxStoreReadRate, perSecond/float64(hosts)*fleetSize)
			must.LessEq(t, maxReadShare*maxStoreReadRate, partitionedPerSecond/float64(hosts)*fleetSize)
			c.stop()
		})
	}
}

// TestApplyLatency measures the time from an apply until every daemon has loaded
// the revision and until the revision is accepted.
func TestApplyLatency(t *testing.T) {
	for _, hosts := range []int{8, 32} {
		synctest.Test(t, func(t *testing.T) {
			c := newTestCluster(t.Context(), hosts)
			time.Sleep(5 * time.Second)
			loadedEverywhere, accepted := hdrhistogram.New(1, 60_000, 3), hdrhistogram.New(1, 60_000, 3)
			for i := range 50 {
				start := time.Now()
				n := c.nodes[i%hosts]
				done := make(chan ApplyResult)
				go func() {
					applied, err := n.applier.Apply(t.Context(), n.manager.Revisions().Config, fmt.Appendf(nil, `{"models": [{"name": "m", "version": "%d"}]}`, i))
					must.NoError(t, err)
					must.NoError(t, accepted.RecordValue(time.Since(start).Milliseconds()))
					done <- applied
				}()
				for lowestRevision(c) < uint64(n.manager.Revisions().Config) || time.Since(start) < 20*time.Millisecond {
					time.Sleep(10 * time.Millisecond)
				}
				must.NoError(t, loadedEverywhere.RecordValue(max(1, time.Since(start).Milliseconds())))
				<-done
			}
			t.Logf("%d daemons: loaded everywhere p50 %d ms, p99 %d ms; accepted p50 %d ms, p99 %d ms", hosts,
				loadedEverywhere.ValueAtQuantile(50), loadedEverywhere.ValueAtQuantile(99), accepted.ValueAtQuantile(50), accepted.ValueAtQuantile(99))
			must.LessEq(t, 3000, accepted.ValueAtQuantile(99))
			c.stop()
		})
	}
}

// lowestRevision returns the lowest revision that a daemon has loaded.
func lowestRevision(c *testCluster) (least uint64) {
	least = 1 << 62
	for _, n := range c.nodes {
		least = min(least, uint64(n.manager.Revisions().Config))
	}
	return least
}
