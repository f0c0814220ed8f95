package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// combined returns a daemon's router over the states of a router of models.
func combined(models *ModelRouter) *CombinedRouter { return New(models.opts) }

// TestLeavingEngineIsInNoChoice guards against a path by which an engine that stated
// that it leaves still gets requests: as the engine of the whole request, of the
// prompt or of the answer, as the home of a prompt, or as the one that a KV cache is
// fetched from. Its entry keeps saying that it is ready.
func TestLeavingEngineIsInNoChoice(t *testing.T) {
	states := engines(6)
	for i := range states {
		states[i].Load.Role = []fleet.Role{fleet.Prefill, fleet.Decode, fleet.Mixed}[i%3]
		states[i].Incarnation = 1
	}
	models, now := newTestRouter(states, DisabledParts{})
	knobs := config.BuiltinKnobs()
	knobs.Routing.FetchLeast, knobs.Routing.PromptMemory = 1, config.Duration(time.Minute)
	models.opts.Knobs = func() *config.RoutingKnobs { return &knobs.Routing }
	c := combined(models)
	homes := map[ident.Target]bool{}
	for i := range 20 {
		placement, err := c.Place(prompt(fmt.Sprint(i), 40), nil)
		must.NoError(t, err)
		homes[placement.Target.Record.Target] = true
	}
	for name := range homes {
		c.ObserveNotice(name, 1, fleet.TargetNotice{Leaving: true})
	}
	*now = now.Add(time.Second)
	for i := range 50 {
		req := prompt(fmt.Sprint("r", i), 40)
		placement, err := c.Place(req, nil)
		must.NoError(t, err)
		whole, err := c.PlaceWhole(req, nil)
		must.NoError(t, err)
		decode, err := c.ChooseDecode(req, nil)
		must.NoError(t, err)
		for _, state := range []*fleet.TargetState{placement.Target, placement.Decode, placement.CacheHolder, whole.Target, whole.CacheHolder, decode} {
			must.True(t, state == nil || !homes[state.Record.Target])
		}
	}
	snapshot := c.Models.refresh()
	home := c.Models.home(snapshot, snapshot.Model("m"), prompt("h", 40), &knobs.Routing)
	must.False(t, homes[states[home].Record.Target])
	for name := range homes {
		must.False(t, c.AcceptsNewWork(name))
		must.ErrorIs(t, c.CheckSend(name, 1), ErrLeaving)
	}
}

// TestNoticeHoldsForOneIncarnation guards against an answer that arrives late taking
// the next incarnation out, and against an outdated entry bringing one back.
func TestNoticeHoldsForOneIncarnation(t *testing.T) {
	models, _ := newTestRouter(engines(1), DisabledParts{})
	c := combined(models)
	const name = "engine-000"
	c.ObserveNotice(name, 5, fleet.TargetNotice{Leaving: true})
	must.Error(t, c.CheckSend(name, 5))
	must.Error(t, c.CheckSend(name, 4), must.Sprint("an outdated entry"))
	must.Error(t, c.CheckSend(name, 0), must.Sprint("an entry without an incarnation"))
	must.NoError(t, c.CheckSend(name, 6))
	c.ObserveNotice(name, 6, fleet.TargetNotice{Leaving: true})
	c.ObserveNotice(name, 5, fleet.TargetNotice{Leaving: true})
	must.NoError(t, c.CheckSend(name, 7))
	must.Error(t, c.CheckSend(name, 6), must.Sprint("the late answer replaced the newer notice"))
}

// TestPauseEndsAtTheLatestEnd guards against a later and shorter pause ending an earlier
// one, against a pause that outlives its incarnation, and against a report of each
// refusal.
func TestPauseEndsAtTheLatestEnd(t *testing.T) {
	models, now := newTestRouter(engines(1), DisabledParts{})
	reported := 0
	models.opts.notices.onNotice = func(ident.Target, fleet.TargetNotice) { reported++ }
	c := combined(models)
	const name = "engine-000"
	for range 20 {
		c.ObserveNotice(name, 1, fleet.TargetNotice{Pause: 10 * time.Second})
		c.ObserveNotice(name, 1, fleet.TargetNotice{Pause: time.Millisecond, MalformedPause: "x"})
	}
	must.Eq(t, 2, reported, must.Sprint("one pause and one malformed text"))
	*now = now.Add(10*time.Second - time.Millisecond)
	must.Eq(t, time.Millisecond, fault.RetryAfterOf(c.CheckSend(name, 1)))
	must.ErrorIs(t, c.CheckSend(name, 0), ErrPaused)
	must.NoError(t, c.CheckSend(name, 2))
	*now = now.Add(time.Millisecond)
	must.NoError(t, c.CheckSend(name, 1))
}

// TestSilentTargetReturnsFromItsPause guards against a target that takes long for its
// answers staying at one request after a pause.
func TestSilentTargetReturnsFromItsPause(t *testing.T) {
	models, now := newTestRouter(engines(1), DisabledParts{})
	c := combined(models)
	const name = "engine-000"
	c.ObserveNotice(name, 1, fleet.TargetNotice{Pause: time.Second})
	*now = now.Add(time.Second)
	for _, want := range []int{1, 1, 2, 4, 8} {
		sent := 0
		for ; sent < 100; sent++ {
			if _, err := c.BeginSend(name, 1, false); err != nil {
				break
			}
		}
		must.Eq(t, want, sent)
		*now = now.Add(admitInterval)
	}
}

// TestRunningRequestMayGoOnAtLeavingTarget guards against cutting a stream that is read
// again from a target that leaves; within a pause it has to wait.
func TestRunningRequestMayGoOnAtLeavingTarget(t *testing.T) {
	models, _ := newTestRouter(engines(1), DisabledParts{})
	c := combined(models)
	const name = "engine-000"
	c.ObserveNotice(name, 1, fleet.TargetNotice{Leaving: true})
	send, err := c.BeginSend(name, 1, true)
	must.NoError(t, err)
	must.NoError(t, send.Check())
	_, err = c.BeginSend(name, 1, false)
	must.ErrorIs(t, err, ErrLeaving)
	c.ObserveNotice(name, 1, fleet.TargetNotice{Pause: time.Second})
	must.ErrorIs(t, send.Check(), ErrPaused)
	_, err = c.BeginSend(name, 1, true)
	must.ErrorIs(t, err, ErrPaused)
}

// TestNoticesOfGoneTargetsAreForgotten guards against memory that grows with each
// target that ever left, and against forgetting one whose entry is away for a moment.
func TestNoticesOfGoneTargetsAreForgotten(t *testing.T) {
	models, now := newTestRouter(engines(3), DisabledParts{})
	n := models.opts.notices
	leave := func(name string) { n.observe(ident.Target(name), 1, fleet.TargetNotice{Leaving: true}) }
	leave("engine-000")
	for i := range 50 {
		leave(fmt.Sprint("gone-", i))
	}
	*now = now.Add(noticeRetention - time.Second)
	leave("engine-001")
	must.Error(t, n.check("gone-0", 1), must.Sprint("the entry may come back"))
	*now = now.Add(2 * time.Second)
	leave("engine-002")
	must.MapLen(t, 4, n.targets, must.Sprint("the three in the view, and the last that was found missing"))
	must.Eq(t, int64(4), n.count.Load())
	must.Error(t, n.check("engine-000", 1))
}

// TestLeavingReplicasOfServiceRefuseAtOnce guards against waiting or an arbitrary
// choice if all replicas of a service leave.
func TestLeavingReplicasOfServiceRefuseAtOnce(t *testing.T) {
	s, _ := newTestServiceRouter(3)
	for i := range 3 {
		s.opts.notices.observe(ident.Target(fmt.Sprint(i)), 0, fleet.TargetNotice{Leaving: true})
		_, err := s.Choose(&request.Request{Service: "s"}, nil)
		must.Eq(t, i == 2, err != nil)
	}
}
