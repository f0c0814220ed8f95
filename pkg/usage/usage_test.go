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

// action is one drawn step of a schedule.
type action struct {
	Kind string
	Node int
	Wait time.Duration
}

var kinds = []string{
	"pause", "pause", "kill", "restart", "outage", "store back", "lose answers", "slow store", "lose reports", "keep reports",
	"part", "join", "move", "move", "longer windows", "shorter windows", "wait", "wait",
}

func (w *world) perform(a action) {
	n := w.nodes[a.Node]
	switch a.Kind {
	case "pause":
		n.pause(a.Wait + 5*time.Second)
	case "kill":
		n.kill()
		<-n.done
		n.start()
	case "restart":
		if !silent(n.process) {
			n.stop()
			n.start()
		}
	case "outage":
		w.store.Set(faultstore.Faults{Down: true})
	case "store back":
		w.store.Set(faultstore.Faults{})
	case "lose answers":
		w.store.Set(faultstore.Faults{LoseAnswer: func(external.Key) bool { return w.writes.Add(1)%2 == 0 }})
	case "lose reports":
		w.setLoseReports(true)
	case "keep reports":
		w.setLoseReports(false)
	case "slow store":
		w.store.Set(faultstore.Faults{Delay: 2 * time.Second})
	case "part":
		w.part(func(i int) bool { return i <= a.Node })
	case "join":
		w.part(func(int) bool { return false })
	case "move":
		w.move(int(a.Wait)%Shards, a.Node)
	case "longer windows":
		w.resize(8 * time.Second)
	case "shorter windows":
		w.resize(3 * time.Second)
	}
}

func (w *world) resize(window time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.window = window
}

// stop ends a process as planned; what the store refused until the end may be
// lost.
func (n *node) stop() {
	n.cancel()
	<-n.done
	n.source.mu.Lock()
	defer n.source.mu.Unlock()
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	n.world.allowed += n.source.state.sequence - n.source.state.base
}

// run plays a schedule and returns the world after it was judged.
func run(t *testing.T, schedule []action, blind func(external.Store) external.Store) *world {
	var w *world
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w = newUsageWorld(ctx, 3, func(w *world) { w.blind = blind })
		w.load(3 * time.Second)
		for _, a := range schedule {
			w.perform(a)
			w.load(a.Wait)
		}
		w.settle()
	})
	return w
}

func TestBilledIsAnsweredUnderFaults(t *testing.T) {
	reports := 0
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) action {
			return action{
				Kind: rapid.SampledFrom(kinds).Draw(rt, "kind"), Node: rapid.IntRange(0, 2).Draw(rt, "node"),
				Wait: time.Duration(rapid.IntRange(1, 120).Draw(rt, "wait")) * 100 * time.Millisecond,
			}
		}), 3, 8).Draw(rt, "schedule")
		w := run(t, schedule, nil)
		reports += len(w.sink.Reports())
		if len(w.faults) > 0 {
			rt.Fatalf("%d faults, the first: %s", len(w.faults), w.faults[0])
		}
	})
	must.Positive(t, reports)
}

func TestAPauseOrKillAtEveryBoundary(t *testing.T) {
	const boundaries = 24
	for _, kill := range []bool{false, true} {
		for k := range boundaries {
			synctest.Test(t, func(t *testing.T) {
				w := newUsageWorld(t.Context(), 3, nil)
				n := w.nodes[0]
				if kill {
					n.process.KillAt(k)
				} else {
					n.process.PauseAt(k, 20*time.Second)
				}
				w.load(15 * time.Second)
				if n.process.Killed() {
					n.kill()
				}
				w.move(0, 1)
				w.load(10 * time.Second)
				w.settle()
				must.SliceEmpty(t, w.faults, must.Sprintf("boundary %d, kill %v", k, kill))
			})
		}
	}
}

// sealing is a pause that looks like death, and an awakening.
func sealing(offset time.Duration) []action {
	return []action{{Kind: "wait", Wait: offset}, {Kind: "pause", Node: 1, Wait: 12 * time.Second}, {Kind: "wait", Wait: 20 * time.Second}}
}

// overSeals writes checkpoints over whatever stands there.
type overSeals struct{ external.Store }

func (s overSeals) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	version, err := s.Store.CompareAndSwap(ctx, swap)
	if err == nil || len(swap.Key) < len(OpenPrefix) || swap.Key[:len(OpenPrefix)] != OpenPrefix {
		return version, err
	}
	entry, _ := s.Get(ctx, swap.Key)
	swap.Base = entry.Version
	return s.Store.CompareAndSwap(ctx, swap)
}

func TestWithoutSealsFiguresAreLostOrDoubled(t *testing.T) {
	caught := 0
	for offset := time.Duration(0); offset < time.Second; offset += 200 * time.Millisecond {
		must.SliceEmpty(t, run(t, sealing(offset), nil).faults)
		caught += len(run(t, sealing(offset), func(s external.Store) external.Store { return overSeals{s} }).faults)
	}
	must.Positive(t, caught)
}

// unfrozen forgets the frozen windows, as if each holder gathered anew.
type unfrozen struct{ external.Store }

func (s unfrozen) Get(ctx context.Context, key external.Key) (external.Entry, error) {
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

func (s unfrozen) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	if len(swap.Key) > len(FrozenPrefix) && swap.Key[:len(FrozenPrefix)] == FrozenPrefix {
		entry, _ := s.Store.Get(ctx, swap.Key)
		swap.Base = entry.Version
	}
	return s.Store.CompareAndSwap(ctx, swap)
}

// relost loses the answers to reports while a daemon's figures come late.
func relost(offset time.Duration) []action {
	return []action{
		{Kind: "wait", Wait: offset},
		{Kind: "lose reports", Wait: 100 * time.Millisecond},
		{Kind: "pause", Node: 2, Wait: 8 * time.Second},
		{Kind: "wait", Wait: 20 * time.Second},
	}
}

func TestWithoutFreezingAWindowIsReportedTwice(t *testing.T) {
	caught := 0
	for offset := time.Duration(0); offset < 5*time.Second; offset += time.Second {
		must.SliceEmpty(t, run(t, relost(offset), nil).faults)
		caught += len(run(t, relost(offset), func(s external.Store) external.Store { return unfrozen{s} }).faults)
	}
	must.Positive(t, caught)
}
