package lease_test

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
)

const (
	// designHosts and designDuties are the size that the system is designed
	// for: a shard for each of 25 models, supply, and eight of usage.
	designHosts  = 330
	designDuties = 34
	// storeShare is the part of the store's stated rates that duties may take.
	storeShare = 0.25
)

// rates are store calls per second.
type rates struct{ reads, writes float64 }

// steadyRates measures the calls of a world in which every duty is held.
func steadyRates(t *testing.T, hosts, duties int) rates {
	const settle, span = 30 * time.Second, 30 * time.Second
	var got rates
	synctest.Test(t, func(*testing.T) {
		w := newWorld(newStore(), hosts, duties, lease.DefaultTerms(), evenRate)
		w.start()
		time.Sleep(settle)
		before := w.totals()
		time.Sleep(span)
		after := w.totals()
		w.stop()
		got = rates{
			reads:  float64(after.Reads-before.Reads) / span.Seconds(),
			writes: float64(after.Writes-before.Writes) / span.Seconds(),
		}
	})
	return got
}

// totals sums the store's calls.
func (w *world) totals() faultstore.Counts {
	var sum faultstore.Counts
	for _, counts := range w.store.Counts() {
		sum.Reads += counts.Reads
		sum.Writes += counts.Writes
	}
	return sum
}

// takeover returns the fake time from the loss of a holder to the start of its
// successor's work.
func takeover(t *testing.T, hosts int) time.Duration {
	var gap time.Duration
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(newStore(), hosts, 1, lease.DefaultTerms(), evenRate)
		w.start()
		time.Sleep(20 * time.Second)
		w.holder().process.Kill()
		lost := time.Now()
		time.Sleep(30 * time.Second)
		w.stop()
		list := w.acquired[w.duties[0]]
		must.SliceLen(t, 2, list)
		gap = list[1].at.Sub(lost)
	})
	return gap
}

// TestStoreCallsAtDesignSize carries the calls at two sizes on to the size of
// the design by their slope.
func TestStoreCallsAtDesignSize(t *testing.T) {
	small, large := steadyRates(t, 8, designDuties), steadyRates(t, 32, designDuties)
	carry := func(a, b float64) float64 { return b + max(0, b-a)/(32-8)*(designHosts-32) }
	t.Logf("at 8 hosts %+v, at 32 %+v", small, large)
	must.Less(t, faultstore.StatedReads*storeShare, carry(small.reads, large.reads))
	must.Less(t, faultstore.StatedWrites*storeShare, carry(small.writes, large.writes))
}

func TestTakeoverTakesOneLeaseAndAPoll(t *testing.T) {
	terms := lease.DefaultTerms()
	bound := terms.TTL + terms.PollEvery*2 + terms.RankWait
	for _, hosts := range []int{8, 32} {
		gap := takeover(t, hosts)
		t.Logf("%d hosts: %v", hosts, gap)
		must.LessEq(t, bound, gap)
	}
}

// slopes asks for the measure that docs/CAPACITY.md quotes.
var slopes = flag.Bool("slopes", false, "measure store calls at several sizes")

// TestSlopes prints the figures that docs quote. It decides nothing.
func TestSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("a measure, run with -slopes")
	}
	for _, hosts := range []int{8, 32, 128, designHosts} {
		for _, duties := range []int{2, designDuties} {
			got := steadyRates(t, hosts, duties)
			t.Logf("%3d hosts, %2d duties: %.1f reads/s, %.1f writes/s", hosts, duties, got.reads, got.writes)
		}
	}
}
