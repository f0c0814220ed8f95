package routing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

const restartedTarget ident.Target = "engine-001"

// restartRouter returns a router with two engines whose view was read at a time that the test
// sets.
func restartRouter() (c *CombinedRouter, view *fixedView, now, readAt *time.Time) {
	c, view, now, _ = rolesRouter(fleet.Mixed, fleet.Mixed)
	readAt = new(*now)
	c.Models.opts.restarts.viewAge = func() (time.Duration, bool) { return now.Sub(*readAt), true }
	return c, view, now, readAt
}

// TestRestartedTargetIsKnownUntilItsEntryIsRead guards against taking the process at a target's
// address for the one that wrote the entry, after one has ended there: until the entry of a later
// incarnation was read, or the same one so late that another would have replaced it. An outage of
// the store does not end it.
func TestRestartedTargetIsKnownUntilItsEntryIsRead(t *testing.T) {
	c, view, now, readAt := restartRouter()
	must.True(t, c.SameProcess(restartedTarget, 1))
	tryOnce(t, c, restartedTarget, EvidenceRefused)
	must.Eq(t, []ident.Target{restartedTarget}, c.Restarted())
	must.False(t, c.SameProcess(restartedTarget, 1))
	must.True(t, c.SameProcess("engine-000", 1))

	*now = now.Add(time.Minute)
	must.Eq(t, []ident.Target{restartedTarget}, c.Restarted(), must.Sprint("the store is away"))
	*readAt = now.Add(entryDelay - time.Minute - time.Millisecond)
	must.Eq(t, []ident.Target{restartedTarget}, c.Restarted(), must.Sprint("the entry may be missing yet"))
	*readAt = now.Add(entryDelay - time.Minute)
	must.SliceEmpty(t, c.Restarted())

	tryOnce(t, c, restartedTarget, EvidenceRefused)
	must.SliceLen(t, 1, c.Restarted())
	states := append([]fleet.TargetState(nil), view.snapshot.Targets...)
	states[1].Incarnation = 2
	view.snapshot = fleet.NewSnapshot(states)
	must.False(t, c.SameProcess(restartedTarget, 1))
	must.SliceEmpty(t, c.Restarted())
	must.True(t, c.SameProcess(restartedTarget, 2))
}

// TestRefusalOfALaterIncarnationCounts guards against relying on an entry since a connection was
// refused before it was read: its process has ended too.
func TestRefusalOfALaterIncarnationCounts(t *testing.T) {
	c, view, _, _ := restartRouter()
	states := append([]fleet.TargetState(nil), view.snapshot.Targets...)
	states[1].Incarnation = 2
	view.snapshot = fleet.NewSnapshot(states)
	tryOnce(t, c, restartedTarget, EvidenceRefused)
	must.SliceLen(t, 1, c.Restarted())
}

// TestLostConnectionIsExamined guards against a target that restarts before a connection to it is
// refused: the loss of one has it probed at once, by one probe at a time, and linked daemons get
// the result. A connection that broke while the process runs on is no restart.
func TestLostConnectionIsExamined(t *testing.T) {
	c, _, _, _ := restartRouter()
	for range 2 {
		c.ObserveLostConnection(restartedTarget, 1, "address")
	}
	wait, due := c.NextProbe()
	must.True(t, due)
	must.Eq(t, 0, wait)
	probes := c.TakeProbes()
	must.Eq(t, []Probe{{Target: restartedTarget, Incarnation: 1, Address: "address", Lost: true}}, probes)
	c.ObserveLostConnection(restartedTarget, 1, "address")
	must.SliceEmpty(t, c.TakeProbes())
	c.ObserveProbe(probes[0], true)
	must.SliceEmpty(t, c.Restarted())

	c.ObserveLostConnection(restartedTarget, 1, "address")
	refused := c.TakeProbes()[0]
	refused.Refused = true
	c.ObserveProbe(refused, false)
	must.SliceLen(t, 1, c.Restarted())
	other, _, _, _ := restartRouter()
	other.LearnProbeResults(c.TakeProbeResults())
	must.Eq(t, []ident.Target{restartedTarget}, other.Restarted())
	must.NoError(t, other.CheckSend(restartedTarget, 1), must.Sprint("one refusal is no absence"))
}

// TestDaemonThatIsCutOffSpreadsNoRestarts guards against all daemons keeping streams from targets
// that one of them doesn't reach.
func TestDaemonThatIsCutOffSpreadsNoRestarts(t *testing.T) {
	c, _, _, _ := restartRouter()
	c.ObserveLostConnection(restartedTarget, 1, "address")
	c.ObserveProbe(c.TakeProbes()[0], false)
	must.SliceLen(t, 1, c.Restarted())
	must.SliceEmpty(t, c.TakeProbeResults())
}

// TestRequiredVersionIsOfTheRunningProcess guards against a stream that is to go on at a version
// and is sent to a target whose process may have another one.
func TestRequiredVersionIsOfTheRunningProcess(t *testing.T) {
	c, _, _, _ := restartRouter()
	var version ident.SoftwareVersion
	constraints := &Constraints{Version: &version, UnknownVersion: []ident.Target{restartedTarget}}
	for i := range 20 {
		state, err := c.Choose(prompt(string(rune('a'+i)), 2), constraints)
		must.NoError(t, err)
		must.Eq(t, "engine-000", state.Record.Target)
	}
}
