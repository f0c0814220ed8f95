package usage

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
)

// useProductionIntervals sets a daemon's peak request rate and the intervals
// used in production.
func useProductionIntervals(c *cluster) {
	c.requestInterval, c.tailInterval, c.window = 40*time.Millisecond, defaultTailInterval, time.Minute
}

// TestRecordsLostOnKill compares the records lost when a daemon is killed with
// and without replication of the tail.
func TestRecordsLostOnKill(t *testing.T) {
	const kills = 10
	var lost [2]uint64
	for i, replicated := range []bool{false, true} {
		for k := range kills {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t.Context(), 3, func(c *cluster) {
					useProductionIntervals(c)
					c.noReplica = !replicated
				})
				c.runLoad(20*time.Second + time.Duration(k)*500*time.Millisecond)
				n := c.nodes[1]
				n.kill()
				n.cluster.mu.Lock()
				n.silentSince = time.Now()
				n.cluster.mu.Unlock()
				bytes, messages := testutil.ToFloat64(n.source.metrics.tailBytes), testutil.ToFloat64(n.source.metrics.tailMessages)
				if records := testutil.ToFloat64(n.source.metrics.records); replicated && k == 0 {
					t.Logf("tail: %.0f bytes and %.2f messages a record, %.0f bytes/s", bytes/records, messages/records, bytes/20)
				}
				c.recoverAndCheck()
				must.SliceEmpty(t, c.violations)
				lost[i] += c.lost
			})
		}
	}
	t.Logf("at 25 requests/s, mean of %d kills: %.1f records lost without the replica, %.1f with it", kills, float64(lost[0])/kills, float64(lost[1])/kills)
	must.Less(t, lost[0], lost[1])
}

// TestStoreCallRateByClusterSize bounds the write rate, extrapolated from each
// cluster size to 330 daemons, by 100 writes/s.
func TestStoreCallRateByClusterSize(t *testing.T) {
	for _, hosts := range []int{8, 32, 128} {
		synctest.Test(t, func(t *testing.T) {
			const span = 60 * time.Second
			c := newCluster(t.Context(), hosts, func(c *cluster) {
				useProductionIntervals(c)
				c.requestInterval, c.tailInterval = 500*time.Millisecond, 5*time.Second
			})
			c.runLoad(75 * time.Second)
			before := c.store.Counts()["usage"]
			c.runLoad(span)
			after := c.store.Counts()["usage"]
			writes, reads := float64(after.Writes-before.Writes)/span.Seconds(), float64(after.Reads-before.Reads)/span.Seconds()
			t.Logf("%d daemons: %.2f writes/s, %.2f reads/s", hosts, writes, reads)
			const fleet, maxWriteRate = 330, 100
			must.LessEq(t, maxWriteRate, writes/float64(hosts)*fleet)
			c.stop()
		})
	}
}

// TestCatchUpAfterStoreOutage checks that windows missed during a store outage
// of ten minutes are reported afterwards and that no record is lost.
func TestCatchUpAfterStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 3, func(c *cluster) {
			useProductionIntervals(c)
			c.requestInterval = time.Second
		})
		c.runLoad(3 * time.Minute)
		c.store.Set(faultstore.Faults{Down: true})
		c.runLoad(10 * time.Minute)
		c.store.Set(faultstore.Faults{})
		reported, start := len(c.sink.Reports()), time.Now()
		for maxReportLag(t, c) > time.Minute+4*time.Second {
			c.runLoad(time.Second)
		}
		late := len(c.sink.Reports()) - reported
		t.Logf("%d windows in %d shards were late, caught up %v after the store recovered", late, Shards, time.Since(start))
		must.Positive(t, late)
		c.recoverAndCheck()
		must.SliceEmpty(t, c.violations)
		must.Zero(t, c.lost)
	})
}

// maxReportLag returns the longest time since the end of a shard's last reported
// window.
func maxReportLag(t *testing.T, c *cluster) time.Duration {
	statuses, err := ReadShardStatuses(t.Context(), c.store)
	must.NoError(t, err)
	var lag time.Duration
	for _, status := range statuses {
		lag = max(lag, time.Since(status.ReportedUntil))
	}
	return lag
}
