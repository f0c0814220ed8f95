package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// TestOneVersionIsKnownAfterARestart guards against refusing streams where a model has had
// one version, after all daemons have started again, and against taking the version in the
// view for the only one where nothing recorded that.
func TestOneVersionIsKnownAfterARestart(t *testing.T) {
	withOrigins(t, true, func(f *originFleet) {
		f.start(4, "v1")
		must.Eq(t, "unknown", f.all("a"), must.Sprint("not recorded"))
		time.Sleep(testRetention + delayOf(4))
		must.Eq(t, "v1", f.all("a"))
		f.end()
		f.start(4, "v1")
		must.Eq(t, "v1", f.all("a"), must.Sprint("recorded"))
		f.end()
		f.start(4, "v2")
		must.Eq(t, "unknown", f.all("a"), must.Sprint("another version is recorded"))
	})
}

// TestFirstStartRefusesNothing guards against refusing streams after the first start of a
// fleet, before any record was written.
func TestFirstStartRefusesNothing(t *testing.T) {
	withOrigins(t, false, func(f *originFleet) {
		f.start(2, "v1")
		must.Eq(t, "v1", f.all("a"))
	})
}

// TestSteadyVersionsCostNoWrites guards against calls to the store while the versions stay
// the same: one record for a model, and one for each change, however many daemons there are.
func TestSteadyVersionsCostNoWrites(t *testing.T) {
	withOrigins(t, false, func(f *originFleet) {
		f.start(30, "v1")
		for i := range 100 {
			f.tables[i%30].Began(testPool, ident.Request(fmt.Sprint(i)), "v1")
		}
		time.Sleep(10 * time.Minute)
		must.Eq(t, 1, f.store.writes.Load())
		f.see("v1", "v2")
		time.Sleep(10 * time.Minute)
		must.Eq(t, 2, f.store.writes.Load())
		f.see("v2")
		time.Sleep(10 * time.Minute)
		must.Eq(t, 3, f.store.writes.Load())
		must.Eq(t, "v2", f.all("a"))
	})
}

// TestVersionOfASecondOutlastsAllDaemons guards against taking one version for the only one
// when a second was there for a moment, and all daemons ended since.
func TestVersionOfASecondOutlastsAllDaemons(t *testing.T) {
	withOrigins(t, false, func(f *originFleet) {
		f.start(4, "v1")
		time.Sleep(time.Minute)
		f.see("v1", "v2")
		time.Sleep(time.Second)
		f.see("v1")
		time.Sleep(time.Second)
		f.end()
		f.start(4, "v1")
		must.Eq(t, "unknown", f.all("a"))
		time.Sleep(2 * testRetention)
		must.Eq(t, "v1", f.all("a"), must.Sprint("no stream of the second is left"))
	})
}

// TestLongStreamsOutlastAllDaemons guards against refusing streams of a model with several
// versions after all daemons have ended, and against writes for streams that end soon.
func TestLongStreamsOutlastAllDaemons(t *testing.T) {
	withOrigins(t, false, func(f *originFleet) {
		f.start(4, "v1", "v2")
		time.Sleep(time.Minute)
		before := f.store.writes.Load()
		for i := range 100 {
			id := ident.Request(fmt.Sprint("short-", i))
			f.tables[i%4].Began(testPool, id, "v1")
			f.tables[i%4].Ended(id)
		}
		time.Sleep(time.Second)
		must.Eq(t, before, f.store.writes.Load())
		for i := range 40 {
			f.tables[i%4].Began(testPool, ident.Request(fmt.Sprint("long-", i)), ident.SoftwareVersion(fmt.Sprint("v", 1+i%2)))
		}
		time.Sleep(minStoredAge + 2*writeInterval)
		must.LessEq(t, before+8, f.store.writes.Load(), must.Sprint("a lease and a write for each daemon"))
		for range 2 {
			f.end()
			f.start(4, "v1", "v2")
			for i := range 40 {
				must.Eq(t, fmt.Sprint("v", 1+i%2), f.all(ident.Request(fmt.Sprint("long-", i))))
			}
			f.tables[0].Began(testPool, "of the next process", "v1")
			time.Sleep(time.Second)
		}
		f.see("v2")
		time.Sleep(2 * testRetention)
		entries, err := f.memory.List(t.Context(), StreamsPrefix)
		must.NoError(t, err)
		must.SliceEmpty(t, entries, must.Sprint("nothing is kept once there is one version"))
	})
}

// TestStoreAwayBlocksNoStream guards against a stream that waits for the store, and against
// what was begun meanwhile being lost once the store is back.
func TestStoreAwayBlocksNoStream(t *testing.T) {
	withOrigins(t, false, func(f *originFleet) {
		f.start(2, "v1", "v2")
		time.Sleep(time.Minute)
		f.store.away.Store(true)
		time.Sleep(time.Second)
		began := time.Now()
		f.tables[0].Began(testPool, "a", "v2")
		must.Eq(t, time.Duration(0), time.Since(began))
		time.Sleep(5 * time.Second)
		f.store.away.Store(false)
		time.Sleep(2 * time.Second)
		f.end()
		f.start(2, "v1", "v2")
		must.Eq(t, "v2", f.all("a"))
	})
}

// TestUnrecordedVersionIsAvoided guards against streams that begin at a version which nobody
// would remember if all daemons ended, and against avoiding the only version there is.
func TestUnrecordedVersionIsAvoided(t *testing.T) {
	withOrigins(t, false, func(f *originFleet) {
		f.start(1, "v1")
		must.SliceEmpty(t, f.tables[0].Unrecorded(testPool), must.Sprint("no record yet"))
		time.Sleep(time.Minute)
		f.see("v1", "v2")
		must.Eq(t, []ident.SoftwareVersion{"v2"}, f.tables[0].Unrecorded(testPool))
		f.see("v2")
		must.SliceEmpty(t, f.tables[0].Unrecorded(testPool), must.Sprint("there is no other"))
		f.see("v1", "v2")
		time.Sleep(2 * time.Second)
		must.SliceEmpty(t, f.tables[0].Unrecorded(testPool), must.Sprint("recorded"))
	})
}

// TestOldViewIsNotRelied guards against a daemon that takes the one version in its view for
// the only one while it can't read the store.
func TestOldViewIsNotRelied(t *testing.T) {
	withOrigins(t, false, func(f *originFleet) {
		f.start(1, "v1")
		time.Sleep(time.Minute)
		must.Eq(t, "v1", f.all("a"))
		f.store.away.Store(true)
		time.Sleep(2 * viewLag)
		must.Eq(t, "unknown", f.all("a"))
		f.store.away.Store(false)
		time.Sleep(2 * time.Second)
		must.Eq(t, "v1", f.all("a"))
	})
}

// TestRecordIsWrittenAgainAfterRise guards against a record that is missing, or taken for
// complete, after the store came back from an older copy: while daemons run, and after all
// have ended.
func TestRecordIsWrittenAgainAfterRise(t *testing.T) {
	withOrigins(t, true, func(f *originFleet) {
		empty := f.memory.Snapshot()
		f.start(3, "v1")
		time.Sleep(time.Minute)
		f.memory.Restore(empty)
		time.Sleep(3 * time.Second)
		must.Eq(t, "v1", f.all("a"))
		f.end()
		f.start(3, "v1")
		must.Eq(t, "v1", f.all("a"))
		f.end()
		f.memory.Restore(f.memory.Snapshot())
		f.start(3, "v1")
		must.Eq(t, "unknown", f.all("a"), must.Sprint("targets may still have to write their entries"))
		time.Sleep(rewriteGrace)
		must.Eq(t, "v1", f.all("a"))
		f.end()
		f.memory.Restore(empty)
		f.start(3, "v1")
		must.Eq(t, "unknown", f.all("a"))
		time.Sleep(testRetention / 2)
		must.Eq(t, "unknown", f.all("a"), must.Sprint("the copy has no record"))
		time.Sleep(testRetention)
		must.Eq(t, "v1", f.all("a"))
	})
}

// TestStreamsAreWrittenAgainAfterRise guards against streams that the store has lost by coming
// back from an older copy, while their daemon lives and begins no other.
func TestStreamsAreWrittenAgainAfterRise(t *testing.T) {
	withOrigins(t, false, func(f *originFleet) {
		f.start(2, "v1", "v2")
		time.Sleep(time.Minute)
		copied := f.memory.Snapshot()
		f.tables[0].Began(testPool, "a", "v2")
		time.Sleep(time.Second)
		f.memory.Restore(copied)
		time.Sleep(3 * time.Second)
		f.end()
		f.start(2, "v1", "v2")
		must.Eq(t, "v2", f.all("a"))
	})
}

// TestDaemonsWithDifferentMemoriesAgree guards against daemons that add and remove a version
// in turns, since they last saw it at different times.
func TestDaemonsWithDifferentMemoriesAgree(t *testing.T) {
	withOrigins(t, false, func(f *originFleet) {
		f.start(6, "v1", "v2")
		for i, table := range f.tables {
			time.Sleep(time.Duration(i) * time.Second)
			table.see("v1")
		}
		time.Sleep(time.Minute)
		writes := f.store.writes.Load()
		must.Eq(t, "v1", f.all("a"))
		time.Sleep(10 * time.Minute)
		must.Eq(t, writes, f.store.writes.Load())
	})
}

// TestRetentionOutlastsAllDaemons guards against forgetting a version too early after all
// daemons have ended and the operator has lowered the longest timeout: streams that began under
// the former one are still taken up.
func TestRetentionOutlastsAllDaemons(t *testing.T) {
	withOrigins(t, false, func(f *originFleet) {
		f.retention.Store(int64(6 * testRetention))
		f.start(4, "v1", "v2")
		time.Sleep(time.Minute)
		f.see("v2")
		time.Sleep(time.Second)
		f.end()
		f.retention.Store(int64(testRetention))
		f.start(4, "v2")
		time.Sleep(4 * testRetention)
		must.Eq(t, "unknown", f.all("a"))
		time.Sleep(10 * testRetention)
		must.Eq(t, "v2", f.all("a"), must.Sprint("no stream of the first is left"))
	})
}

var _ fleet.View = (*testTable)(nil)
