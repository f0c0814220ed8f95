package streamorigin

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// testRetention is how long streams are remembered in the tests.
const testRetention = 10 * time.Second

// testPool is the pool whose streams are taken up in the tests.
var testPool = ident.Pool{Model: "m"}

// testTable is a table over a view that the test changes, in the test's time.
type testTable struct {
	*Table
	snapshot atomic.Pointer[fleet.Snapshot]
	now      time.Time
}

// Snapshot returns the view's targets.
func (f *testTable) Snapshot() *fleet.Snapshot { return f.snapshot.Load() }

// newTestTable returns a table whose view has one target for each version.
func newTestTable(versions ...ident.SoftwareVersion) *testTable {
	f := &testTable{now: time.Unix(1_700_000_000, 0)}
	f.see(versions...)
	f.Table = New(Options{
		View: f, Now: func() time.Time { return f.now }, Retention: func() time.Duration { return testRetention },
		Log: slog.New(slog.DiscardHandler), Registerer: prometheus.NewRegistry(),
	})
	return f
}

// see replaces the view by one target for each version.
func (f *testTable) see(versions ...ident.SoftwareVersion) {
	states := make([]fleet.TargetState, len(versions))
	for i, version := range versions {
		states[i].Record = external.TargetRecord{Target: ident.Target(fmt.Sprint("engine-", i)), Model: "m", SoftwareVersion: version}
	}
	f.snapshot.Store(fleet.NewSnapshot(states))
}

// versionOf returns the version of a stream, or "unknown".
func (f *testTable) versionOf(t *testing.T, id ident.Request) string {
	version, err := f.VersionOf(t.Context(), testPool, "again", id)
	if err != nil {
		return "unknown"
	}
	return string(version)
}

// count returns the number of streams in messages.
func count(known []Origins) (n int) {
	for i := range known {
		n += len(splitKeys(known[i].Streams))
	}
	return n
}

// TestOneVersionCostsNothing guards against messages and refusals where a model has one
// software version, and nothing has to be known of its streams.
func TestOneVersionCostsNothing(t *testing.T) {
	f := newTestTable("v1", "v1")
	f.Began(testPool, "a", "v1")
	must.SliceEmpty(t, f.TakeUnsent())
	must.Eq(t, "v1", f.versionOf(t, "a"))
	must.Eq(t, "v1", f.versionOf(t, "nobody's"))
	must.Eq(t, "v1", f.versionOf(t, ""))
}

// TestStreamsFromBeforeASecondVersionAreKnown guards against streams that go on at a new
// version, since they began before there was one and nobody was told.
func TestStreamsFromBeforeASecondVersionAreKnown(t *testing.T) {
	first, other := newTestTable("v1"), newTestTable("v1")
	first.Began(testPool, "a", "v1")
	first.Began(testPool, "b", "v1")
	for _, f := range []*testTable{first, other} {
		f.versionOf(t, "a")
		f.now = f.now.Add(time.Second)
		f.see("v1", "v2")
	}
	first.Began(testPool, "c", "v2")
	unsent := first.TakeUnsent()
	must.Eq(t, 3, count(unsent))
	must.SliceEmpty(t, first.TakeUnsent())
	other.Learn(unsent)
	for id, want := range map[ident.Request]string{"a": "v1", "b": "v1", "c": "v2"} {
		must.Eq(t, want, other.versionOf(t, id))
	}
	must.Eq(t, "unknown", other.versionOf(t, "of a daemon that ended"))
}

// TestViewAfterAPauseIsNotRelied guards against a daemon that was paused while a second
// version came, and lets a stream that began at that one go on at the version which it still
// sees alone: one of three streams of two versions that the soak found (seed 4012).
func TestViewAfterAPauseIsNotRelied(t *testing.T) {
	f := newTestTable("v1")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	must.NoError(t, f.Run(ctx))
	must.Eq(t, "v1", f.versionOf(t, "a"))
	f.now = f.now.Add(longestGap + time.Millisecond)
	must.Eq(t, "unknown", f.versionOf(t, "a"))
	must.NoError(t, f.Run(ctx))
	f.now = f.now.Add(viewLag - time.Millisecond)
	must.Eq(t, "unknown", f.versionOf(t, "a"))
	f.now = f.now.Add(time.Millisecond)
	must.Eq(t, "v1", f.versionOf(t, "a"))
}

// TestVersionThatOthersSawFirstIsRequired guards against a stream that goes on at the only
// version that this daemon sees, while another daemon has begun it at a newer one.
func TestVersionThatOthersSawFirstIsRequired(t *testing.T) {
	ahead, behind := newTestTable("v1", "v2"), newTestTable("v1")
	ahead.Began(testPool, "a", "v2")
	behind.Learn(ahead.TakeUnsent())
	must.Eq(t, "v2", behind.versionOf(t, "a"))
	must.Eq(t, "unknown", behind.versionOf(t, "b"))
}

// TestStreamOfAnUnknownVersionGoesOnNowhere guards against a stream that began at a target of unknown
// version and goes on at the only version in the view, at its own daemon or at one that is linked.
// When it can no longer be taken up, the only version is relied on again.
func TestStreamOfAnUnknownVersionGoesOnNowhere(t *testing.T) {
	own, linked := newTestTable("v1"), newTestTable("v1")
	own.Began(testPool, "known", "v1")
	own.Began(testPool, "a", ident.UnknownVersion)
	linked.Learn(own.TakeUnsent())
	for _, f := range []*testTable{own, linked} {
		must.Eq(t, "unknown", f.versionOf(t, "a"))
		must.Eq(t, "v1", f.versionOf(t, "known"))
		f.now = f.now.Add(testRetention + viewLag + time.Second)
		must.Eq(t, "v1", f.versionOf(t, "b"))
	}
}

// TestVersionThatHasGoneIsRemembered guards against a stream that goes on at another
// version because its own has left the view, and against remembering it for ever.
func TestVersionThatHasGoneIsRemembered(t *testing.T) {
	f := newTestTable("v1", "v2")
	f.Began(testPool, "a", "v1")
	f.see("v2")
	f.now = f.now.Add(testRetention)
	must.Eq(t, "v1", f.versionOf(t, "a"))
	f.now = f.now.Add(testRetention)
	must.Eq(t, "v2", f.versionOf(t, "a"))
}

// TestStreamsAreBounded guards against memory that grows with the streams, by their rate,
// their age, or while no daemon is linked.
func TestStreamsAreBounded(t *testing.T) {
	f := newTestTable("v1", "v2")
	for i := range maxStreams + 100 {
		f.Began(testPool, ident.Request(fmt.Sprint(i)), "v1")
	}
	must.Eq(t, maxStreams, len(f.origins))
	must.LessEq(t, maxStreams, len(f.order))
	must.Eq(t, maxUnsent, count(f.TakeUnsent()))
	f.now = f.now.Add(testRetention + time.Second)
	f.Began(testPool, "new", "v2")
	must.Eq(t, 1, len(f.origins))
	must.Eq(t, "v2", f.versionOf(t, "new"))
}

// TestLoweredRetentionForgetsNoStream guards against forgetting what began while streams could
// be taken up for longer, and against counting a time for ever that is no longer in force.
func TestLoweredRetentionForgetsNoStream(t *testing.T) {
	f := newTestTable("v1", "v2")
	inForce := 6 * testRetention
	f.opts.Retention = func() time.Duration { return inForce }
	f.Began(testPool, "a", "v1")
	inForce = testRetention
	f.see("v2")
	for range 5 {
		f.now = f.now.Add(testRetention)
		must.Eq(t, "v1", f.versionOf(t, "a"))
		must.Eq(t, "unknown", f.versionOf(t, "b"))
	}
	f.now = f.now.Add(2 * testRetention)
	must.Eq(t, "v2", f.versionOf(t, "b"))
	f.Began(testPool, "c", "v2")
	must.Eq(t, testRetention, f.retention())
}

// TestStreamTakenUpAgainIsRemembered guards against forgetting a stream by the time of its
// beginning while it goes on over several tries of its caller.
func TestStreamTakenUpAgainIsRemembered(t *testing.T) {
	f, other := newTestTable("v1", "v2"), newTestTable("v1", "v2")
	for range 5 {
		f.Began(testPool, "a", "v1")
		other.Learn(f.TakeUnsent())
		for _, table := range []*testTable{f, other} {
			table.now = table.now.Add(testRetention - time.Second)
			must.Eq(t, "v1", table.versionOf(t, "a"))
		}
	}
}
