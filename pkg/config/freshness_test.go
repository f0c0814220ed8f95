package config

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

// observations collects the accepted changes, the daemons' revisions and the
// violations during a schedule.
type observations struct {
	mu sync.Mutex
	// accepted holds when each revision was reported as accepted.
	accepted map[ident.Revision]time.Time
	// highest holds the newest revisions of each incarnation of a daemon.
	highest    map[string]Revisions
	violations []string
	served     int
}

// observe checks that no daemon's revisions go back and that no serving daemon
// lacks a revision accepted longer ago than the bound. With ignoreFreshness set,
// every daemon with a configuration counts as serving, as it would without the
// freshness rule.
func (o *observations) observe(c *testCluster, bound time.Duration, ignoreFreshness bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range c.nodes {
		if n.paused() {
			continue
		}
		n.mu.Lock()
		m, id := n.manager, fmt.Sprintf("%d/%d", n.index, n.incarnation)
		n.mu.Unlock()
		// The readiness comes first: a daemon may load a revision and become ready in between.
		ready := m.Ready() == nil
		own := m.Revisions()
		if !own.Covers(o.highest[id]) {
			o.violations = append(o.violations, fmt.Sprintf("%s went back from %v to %v", id, o.highest[id], own))
		}
		o.highest[id] = own
		if !ready && (!ignoreFreshness || own.Config == 0) {
			continue
		}
		o.served++
		for revision, at := range o.accepted {
			if own.Config < revision && time.Since(at) > bound {
				o.violations = append(o.violations, fmt.Sprintf("%s serves revision %d although %d was accepted %v ago", id, own.Config, revision, time.Since(at)))
			}
		}
	}
}

// action is one randomly drawn step of a schedule.
type action struct {
	Kind string
	Host int
	Wait time.Duration
}

// perform runs one action.
func (o *observations) perform(c *testCluster, a action, wg *sync.WaitGroup) {
	n := c.nodes[a.Host]
	switch a.Kind {
	case "apply":
		n.mu.Lock()
		applier := n.applier
		n.mu.Unlock()
		wg.Go(func() { o.apply(applier, a.Wait) })
	case "pause":
		n.pause(a.Wait + 4*time.Second)
	case "restart":
		if !n.paused() {
			n.restart()
		}
	case "cut store":
		n.store.Set(faultstore.Faults{Down: true})
	case "lose responses":
		n.store.Set(faultstore.Faults{LoseResponse: func(external.Key) bool { return true }})
	case "silent watches":
		n.store.Set(faultstore.Faults{SilentWatches: true})
	case "slow store":
		n.store.Set(faultstore.Faults{Delay: time.Second})
	case "outage":
		c.setStoreFaults(faultstore.Faults{Down: true})
	case "store back":
		c.setStoreFaults(faultstore.Faults{})
	case "partition":
		c.partition(func(i int) bool { return i <= a.Host })
	case "isolate":
		c.partition(func(i int) bool { return i == a.Host })
	case "heal":
		c.partition(func(int) bool { return false })
	}
}

// actionKinds are the kinds of action in a schedule. Repeated kinds are drawn more
// often.
var actionKinds = []string{
	"apply", "apply", "apply", "apply", "pause", "restart", "cut store", "lose responses",
	"silent watches", "slow store", "outage", "outage", "store back", "store back", "partition", "isolate", "heal", "wait", "wait",
}

// apply applies a new configuration, as an operator does, and records it if it is
// accepted.
func (o *observations) apply(applier *Applier, salt time.Duration) {
	ctx := context.Background()
	text := []byte(fmt.Sprintf(`{"models": [{"name": "m", "version": "%d"}]}`, salt))
	applied, err := applier.Apply(ctx, applier.Manager.Revisions().Config, text)
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepted[applied.Revision] = time.Now()
}

// runSchedule runs the actions on a cluster in fake time and returns what was
// observed.
func runSchedule(t *testing.T, hosts int, schedule []action, ignoreFreshness bool) *observations {
	o := &observations{accepted: make(map[ident.Revision]time.Time), highest: make(map[string]Revisions)}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newTestCluster(ctx, hosts)
		bound := DefaultTiming().PropagationBound()
		var wg sync.WaitGroup
		for _, a := range schedule {
			o.perform(c, a, &wg)
			for end := time.Now().Add(a.Wait); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				o.observe(c, bound, ignoreFreshness)
			}
		}
		wg.Wait()
		c.stop()
	})
	return o
}

// drawSchedule draws 5 to 25 actions, each followed by a wait of up to 8 seconds.
func drawSchedule(rt *rapid.T, hosts int) []action {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) action {
		return action{
			Kind: rapid.SampledFrom(actionKinds).Draw(rt, "kind"),
			Host: rapid.IntRange(0, hosts-1).Draw(rt, "host"),
			Wait: time.Duration(rapid.IntRange(1, 80).Draw(rt, "wait")) * 100 * time.Millisecond,
		}
	}), 5, 25).Draw(rt, "schedule")
}

// TestServingDaemonsHaveLoadedAcceptedRevisions checks, under random faults, that
// no daemon serves on an older revision for longer than PropagationBound after a
// change was accepted.
func TestServingDaemonsHaveLoadedAcceptedRevisions(t *testing.T) {
	served, accepted := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		hosts := rapid.IntRange(3, 5).Draw(rt, "hosts")
		o := runSchedule(t, hosts, drawSchedule(rt, hosts), false)
		served += o.served
		accepted += len(o.accepted)
		if len(o.violations) > 0 {
			rt.Fatalf("%d violations, first: %s", len(o.violations), o.violations[0])
		}
	})
	must.Positive(t, served)
	must.Positive(t, accepted)
	t.Logf("%d observations of serving daemons, %d accepted changes", served, accepted)
}

// isolatedDaemonSchedule applies a change while one daemon reaches neither the
// store nor its peers.
var isolatedDaemonSchedule = []action{
	{Kind: "wait", Wait: 4 * time.Second},
	// The wait is longer than a watch that may still be open (WatchTimeout).
	{Kind: "cut store", Host: 2, Wait: 11 * time.Second},
	{Kind: "isolate", Host: 2, Wait: 100 * time.Millisecond},
	{Kind: "apply", Host: 0, Wait: 20 * time.Second},
}

// TestIsolatedDaemonServesStaleConfigWithoutFreshnessRule checks that the schedule
// violates the bound without the freshness rule, so that the test above can fail.
func TestIsolatedDaemonServesStaleConfigWithoutFreshnessRule(t *testing.T) {
	must.SliceEmpty(t, runSchedule(t, 3, isolatedDaemonSchedule, false).violations)
	must.SliceNotEmpty(t, runSchedule(t, 3, isolatedDaemonSchedule, true).violations)
}

// TestStoreOutageDoesNotStopServing checks that the daemons keep serving during an
// outage of the store of 10 minutes, and that a daemon that restarts during the
// outage serves once it has waited for RejoinDelay.
func TestStoreOutageDoesNotStopServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t.Context(), 4)
		time.Sleep(10 * time.Second)
		c.setStoreFaults(faultstore.Faults{Down: true})
		for range 6000 {
			time.Sleep(100 * time.Millisecond)
			for _, n := range c.nodes {
				must.NoError(t, n.manager.Ready())
			}
		}
		c.nodes[1].restart()
		must.Error(t, c.nodes[1].manager.Ready())
		time.Sleep(DefaultTiming().RejoinDelay() + 5*time.Second)
		must.NoError(t, c.nodes[1].manager.Ready())
		c.stop()
	})
}

func TestConcurrentAppliesHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t.Context(), 3)
		time.Sleep(5 * time.Second)
		errs := make([]error, 3)
		var wg sync.WaitGroup
		for i, n := range c.nodes {
			wg.Go(func() {
				_, errs[i] = n.applier.Apply(t.Context(), 1, []byte(`{"models": [{"name": "m`+string(rune('a'+i))+`", "version": "1"}]}`))
			})
		}
		wg.Wait()
		won := 0
		for _, err := range errs {
			if err == nil {
				won++
				continue
			}
			must.Eq(t, fault.Conflict, fault.KindOf(err))
			must.StrContains(t, err.Error(), "revision 2")
		}
		must.Eq(t, 1, won)
		c.stop()
	})
}

func TestMalformedRevisionKeepsLastValidOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t.Context(), 3)
		time.Sleep(5 * time.Second)
		_, err := c.inner.CompareAndSwap(t.Context(), external.Swap{Key: StoreKey, Base: 1, Value: []byte("{")})
		must.NoError(t, err)
		time.Sleep(20 * time.Second)
		for _, n := range c.nodes {
			must.NoError(t, n.manager.Ready())
			must.Eq(t, 1, n.manager.Revisions().Config)
		}
		_, err = c.nodes[0].applier.Apply(t.Context(), 2, []byte(strings.Repeat(" ", 3)+"{}"))
		must.NoError(t, err)
		c.stop()
	})
}
