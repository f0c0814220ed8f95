package lease_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
)

const (
	// designHosts and designDuties are the size that the system is designed
	// for. The duties are one shard for each of 25 models, one for supply and
	// eight for usage.
	designHosts  = 330
	designDuties = 34
	// storeShare is the fraction of the store's stated call rates that duties
	// may use.
	storeShare = 0.25
)

// rates are store calls per second.
type rates struct{ reads, writes float64 }

// steadyRates measures the store calls of a cluster in which every duty is held.
func steadyRates(t *testing.T, hosts, duties int) rates {
	const settle, span = 30 * time.Second, 30 * time.Second
	var got rates
	synctest.Test(t, func(*testing.T) {
		c := newCluster(newStore(), hosts, duties, lease.DefaultTiming(), exactRate)
		c.start()
		time.Sleep(settle)
		before := c.totals()
		time.Sleep(span)
		after := c.totals()
		c.stop()
		got = rates{
			reads:  float64(after.Reads-before.Reads) / span.Seconds(),
			writes: float64(after.Writes-before.Writes) / span.Seconds(),
		}
	})
	return got
}

// totals sums the store's calls.
func (c *cluster) totals() faultstore.Counts {
	var sum faultstore.Counts
	for _, counts := range c.store.Counts() {
		sum.Reads += counts.Reads
		sum.Writes += counts.Writes
	}
	return sum
}

// takeoverTime returns the fake time from the loss of a holder to the start of
// its successor's work.
func takeoverTime(t *testing.T, hosts int) time.Duration {
	var gap time.Duration
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(newStore(), hosts, 1, lease.DefaultTiming(), exactRate)
		c.start()
		time.Sleep(20 * time.Second)
		c.holder().process.Kill()
		lost := time.Now()
		time.Sleep(30 * time.Second)
		c.stop()
		list := c.acquired[c.duties[0]]
		must.SliceLen(t, 2, list)
		gap = list[1].at.Sub(lost)
	})
	return gap
}

// TestStoreCallsAtDesignSize measures the store calls at two sizes and checks
// their linear extrapolation to the design size.
func TestStoreCallsAtDesignSize(t *testing.T) {
	small, large := steadyRates(t, 8, designDuties), steadyRates(t, 32, designDuties)
	extrapolate := func(a, b float64) float64 { return b + max(0, b-a)/(32-8)*(designHosts-32) }
	t.Logf("at 8 hosts %+v, at 32 %+v", small, large)
	must.Less(t, faultstore.PlatformReadsPerSecond*storeShare, extrapolate(small.reads, large.reads))
	must.Less(t, faultstore.PlatformWritesPerSecond*storeShare, extrapolate(small.writes, large.writes))
}

func TestTakeoverTimeIsBounded(t *testing.T) {
	timing := lease.DefaultTiming()
	bound := timing.TTL + timing.PollInterval*2 + timing.RankWait
	for _, hosts := range []int{8, 32} {
		gap := takeoverTime(t, hosts)
		t.Logf("%d hosts: %v", hosts, gap)
		must.LessEq(t, bound, gap)
	}
}
