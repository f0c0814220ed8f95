package usage

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

// action is one randomly drawn step of a schedule.
type action struct {
	Kind string
	Node int
	Wait time.Duration
}

var actionKinds = []string{
	"pause", "pause", "kill", "restart", "outage", "end outage", "lose responses", "slow store", "lose report responses", "keep report responses",
	"partition", "heal partition", "move duty", "move duty", "longer windows", "shorter windows", "wait", "wait",
}

func (c *cluster) perform(a action) {
	n := c.nodes[a.Node]
	switch a.Kind {
	case "pause":
		n.pause(a.Wait + 5*time.Second)
	case "kill":
		n.kill()
		<-n.done
		n.start()
	case "restart":
		if !unresponsive(n.process) {
			n.stop()
			n.start()
		}
	case "outage":
		c.store.Set(faultstore.Faults{Down: true})
	case "end outage":
		c.store.Set(faultstore.Faults{})
	case "lose responses":
		c.store.Set(faultstore.Faults{LoseResponse: func(external.Key) bool { return c.writes.Add(1)%2 == 0 }})
	case "lose report responses":
		c.setLoseReportResponses(true)
	case "keep report responses":
		c.setLoseReportResponses(false)
	case "slow store":
		c.store.Set(faultstore.Faults{Delay: 2 * time.Second})
	case "partition":
		c.partition(func(i int) bool { return i <= a.Node })
	case "heal partition":
		c.partition(func(int) bool { return false })
	case "move duty":
		c.assignDuty(int(a.Wait)%Shards, a.Node)
	case "longer windows":
		c.setWindow(8 * time.Second)
	case "shorter windows":
		c.setWindow(3 * time.Second)
	}
}

func (c *cluster) setWindow(window time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.window = window
}

// stop shuts a process down gracefully. Records that could not be stored by then
// may be lost.
func (n *node) stop() {
	n.cancel()
	<-n.done
	n.source.mu.Lock()
	defer n.source.mu.Unlock()
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.cluster.allowedLoss += n.source.state.sequence - n.source.state.storedThrough
}

// runSchedule runs a schedule and returns the cluster after its billing was
// checked.
func runSchedule(t *testing.T, schedule []action, wrapStore func(external.Store) external.Store) *cluster {
	var c *cluster
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c = newCluster(ctx, 3, func(c *cluster) { c.wrapStore = wrapStore })
		c.runLoad(3 * time.Second)
		for _, a := range schedule {
			c.perform(a)
			c.runLoad(a.Wait)
		}
		c.recoverAndCheck()
	})
	return c
}

// TestBillingMatchesRequestsUnderFaults checks, under random faults, that no
// request is billed twice, no window is reported with two sets of counts, and
// no more requests are lost than kills and shutdowns allow.
func TestBillingMatchesRequestsUnderFaults(t *testing.T) {
	reports := 0
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) action {
			return action{
				Kind: rapid.SampledFrom(actionKinds).Draw(rt, "kind"), Node: rapid.IntRange(0, 2).Draw(rt, "node"),
				Wait: time.Duration(rapid.IntRange(1, 120).Draw(rt, "wait")) * 100 * time.Millisecond,
			}
		}), 3, 8).Draw(rt, "schedule")
		c := runSchedule(t, schedule, nil)
		reports += len(c.sink.Reports())
		if len(c.violations) > 0 {
			rt.Fatalf("%d violations, the first: %s", len(c.violations), c.violations[0])
		}
	})
	must.Positive(t, reports)
}

// TestPauseOrKillAtEveryBoundary pauses or kills a process before and after each
// of its first calls to the store and the platform.
func TestPauseOrKillAtEveryBoundary(t *testing.T) {
	const boundaries = 24
	for _, kill := range []bool{false, true} {
		for k := range boundaries {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t.Context(), 3, nil)
				n := c.nodes[0]
				if kill {
					n.process.KillAt(k)
				} else {
					n.process.PauseAt(k, 20*time.Second)
				}
				c.runLoad(15 * time.Second)
				if n.process.Killed() {
					n.kill()
				}
				c.assignDuty(0, 1)
				c.runLoad(10 * time.Second)
				c.recoverAndCheck()
				must.SliceEmpty(t, c.violations, must.Sprintf("boundary %d, kill %v", k, kill))
			})
		}
	}
}

// pauseUntilDeadSchedule pauses a process for longer than deadAfter, so that a peer
// considers it dead and seals its checkpoint, and then resumes it.
func pauseUntilDeadSchedule(offset time.Duration) []action {
	return []action{{Kind: "wait", Wait: offset}, {Kind: "pause", Node: 1, Wait: 12 * time.Second}, {Kind: "wait", Wait: 20 * time.Second}}
}

// sealOverwritingStore overwrites stored checkpoints, even sealed ones, on a
// version conflict.
type sealOverwritingStore struct{ external.Store }

func (s sealOverwritingStore) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	version, err := s.Store.CompareAndSwap(ctx, swap)
	if err == nil || len(swap.Key) < len(CheckpointPrefix) || swap.Key[:len(CheckpointPrefix)] != CheckpointPrefix {
		return version, err
	}
	entry, _ := s.Get(ctx, swap.Key)
	swap.Base = entry.Version
	return s.Store.CompareAndSwap(ctx, swap)
}

// TestOverwrittenSealsAreDetected validates the billing check: it must pass with
// seals and report violations when a resumed process overwrites the seal of its
// checkpoint.
func TestOverwrittenSealsAreDetected(t *testing.T) {
	violations := 0
	for offset := time.Duration(0); offset < time.Second; offset += 200 * time.Millisecond {
		must.SliceEmpty(t, runSchedule(t, pauseUntilDeadSchedule(offset), nil).violations)
		violations += len(runSchedule(t, pauseUntilDeadSchedule(offset), func(s external.Store) external.Store { return sealOverwritingStore{s} }).violations)
	}
	must.Positive(t, violations)
}

// refreezingStore hides the frozen windows except the last reported one and lets
// them be overwritten, so that each attempt to report a window freezes it anew.
type refreezingStore struct{ external.Store }

func (s refreezingStore) Get(ctx context.Context, key external.Key) (external.Entry, error) {
	entry, err := s.Store.Get(ctx, key)
	if err == nil && len(key) > len(FrozenPrefix) && key[:len(FrozenPrefix)] == FrozenPrefix {
		if head, headErr := s.Store.Get(ctx, HeadPrefix+key[len(FrozenPrefix):len(FrozenPrefix)+1]); headErr == nil {
			decoded, _ := decodeHead(head.Value)
			if key == frozenKey(decoded.Shard, decoded.Reported) {
				return entry, nil
			}
		}
		return external.Entry{}, external.ErrKeyNotFound
	}
	return entry, err
}

func (s refreezingStore) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	if len(swap.Key) > len(FrozenPrefix) && swap.Key[:len(FrozenPrefix)] == FrozenPrefix {
		entry, _ := s.Store.Get(ctx, swap.Key)
		swap.Base = entry.Version
	}
	return s.Store.CompareAndSwap(ctx, swap)
}

// lateUsageSchedule loses the responses to reports while a daemon's usage is
// late.
func lateUsageSchedule(offset time.Duration) []action {
	return []action{
		{Kind: "wait", Wait: offset},
		{Kind: "lose report responses", Wait: 100 * time.Millisecond},
		{Kind: "pause", Node: 2, Wait: 8 * time.Second},
		{Kind: "wait", Wait: 20 * time.Second},
	}
}

// TestRefrozenWindowsAreDetected validates the check of reports: it must pass
// with frozen windows and report violations when a window is frozen anew before
// it is resent, since late usage then changes its counts.
func TestRefrozenWindowsAreDetected(t *testing.T) {
	violations := 0
	for offset := time.Duration(0); offset < 5*time.Second; offset += time.Second {
		must.SliceEmpty(t, runSchedule(t, lateUsageSchedule(offset), nil).violations)
		violations += len(runSchedule(t, lateUsageSchedule(offset), func(s external.Store) external.Store { return refreezingStore{s} }).violations)
	}
	must.Positive(t, violations)
}
