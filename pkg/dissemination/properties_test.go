package dissemination

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/ident"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

// convergenceTime is enough to repair everything after the last fault.
const convergenceTime = time.Minute

// watermarks holds the highest contiguous versions that a node has reported.
type watermarks map[OriginID]Version

// check returns an error if a version went back.
func (w watermarks) check(n *fleetNode) error {
	for id, o := range n.origins {
		if o.contiguous < w[id] {
			return errors.Errorf("%s went back to version %d of origin %d", n.instance.Host, o.contiguous, id)
		}
		w[id] = o.contiguous
	}
	return nil
}

// checkConverged returns an error if a node holds less of an origin than
// another.
func (f *fleet) checkConverged() error {
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			for id, o := range a.origins {
				// Recent bundles may still be on their way.
				if f.now.Sub(o.lastSeenAt) > 10*time.Second && b.contiguousUpTo(id) < o.contiguous {
					return errors.Errorf("%s lacks version %d of origin %d", b.instance.Host, o.contiguous, id)
				}
			}
		}
	}
	return nil
}

// checkSums returns an error if a node's totals differ from those of the first
// one or, if no process was killed, from what was consumed.
func (f *fleet) checkSums(killed bool) error {
	want := make(map[ident.Workspace]Consumption)
	for _, n := range f.nodes {
		for _, o := range n.origins {
			for _, state := range o.items {
				if consumed, ok := decodeConsumption(state.value); ok && o.identified && state.key.Section == SectionConsumption {
					n.ledger.Merge(o.instance, Sum{ident.Workspace(state.key.Name), consumed})
				}
			}
		}
		for workspace, consumed := range n.total {
			want[workspace] = want[workspace].plus(consumed)
		}
	}
	for workspace := range want {
		first := f.nodes[0].total[workspace].plus(f.nodes[0].ledger.Remote(workspace))
		for _, n := range f.nodes {
			got := n.total[workspace].plus(n.ledger.Remote(workspace))
			if got != first || (!killed && got != want[workspace]) {
				return errors.Errorf("%s counts %v for %s, the first node %v, consumed was %v", n.instance.Host, got, workspace, first, want[workspace])
			}
		}
	}
	return nil
}

// renew gives a node a new incarnation, as when other daemons have ended its old
// one.
func (f *fleet) renew(i int) {
	n := f.nodes[i]
	if n.down {
		return
	}
	n.instance.Incarnation++
	n.Renew(f.now, n.instance)
	n.ledger.Renew(n.instance)
}

func TestViewsConvergeAndSumsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		strategy := rapid.SampledFrom([]Strategy{Flat{}, Epidemic{3, 8}, Trees{2}}).Draw(t, "strategy")
		f := newFleet(6, strategy, rapid.Uint64().Draw(t, "seed"))
		f.loss = 0.05
		killed := false
		seen := make(map[Instance]watermarks)
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			i := rapid.IntRange(0, 5).Draw(t, "node")
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				if !f.nodes[i].down {
					f.kill(i, restartPause)
					killed = true
				}
			case 1:
				f.partition(i + 1)
			case 2:
				f.partition(0)
			case 3:
				f.renew(i)
			}
			for range rapid.IntRange(1, 100).Draw(t, "ticks") {
				f.step()
				for _, n := range f.nodes {
					first := Instance{n.instance.Host, ident.Incarnation(n.startedAt.UnixNano())}
					if seen[first] == nil {
						seen[first] = make(watermarks)
					}
					must.NoError(t, seen[first].check(n))
				}
			}
		}
		f.partition(0)
		f.noConsumption = true
		f.run(convergenceTime)
		must.NoError(t, f.checkConverged())
		must.NoError(t, f.checkSums(killed))
	})
}

func TestSumCheckDetectsDoubleCounting(t *testing.T) {
	f := newFleet(4, Flat{}, 1)
	f.run(5 * time.Second)
	old := f.nodes[1].instance
	f.renew(1)
	delete(f.nodes[1].ledger.ownInstances, old)
	f.noConsumption = true
	f.run(convergenceTime)
	must.Error(t, f.checkSums(false))
}

func TestWatermarksDetectRegression(t *testing.T) {
	f := newFleet(2, Flat{}, 1)
	f.run(5 * time.Second)
	w := make(watermarks)
	must.NoError(t, w.check(f.nodes[0]))
	f.nodes[0].origins[f.nodes[1].self].contiguous = 0
	must.Error(t, w.check(f.nodes[0]))
}

func TestConvergenceCheckDetectsMissingBundle(t *testing.T) {
	f := newFleet(3, Flat{}, 1)
	f.run(5 * time.Second)
	f.nodes[2].down = true
	f.run(15 * time.Second)
	must.NoError(t, f.checkConverged())
	f.nodes[0].origins[f.nodes[2].self].contiguous--
	must.Error(t, f.checkConverged())
}

func TestForgottenOriginStaysForgotten(t *testing.T) {
	n := NewNode(Instance{"a", 1}, Flat{}, TimingFor(2), nil)
	now := time.Unix(0, 0)
	n.Receive(now, "b", &Frame{Bundles: []Bundle{{Origin: 7, Version: 1}}})
	must.NotNil(t, n.origins[7])
	n.forget(now, 7)
	n.Receive(now, "b", &Frame{Repairs: []Repair{{Origin: 7, Version: 2}}})
	must.Nil(t, n.origins[7])
}

func TestOutOfOrderBundlesBeyondLimitAreNotForwardedTwice(t *testing.T) {
	o := newOrigin(time.Unix(0, 0))
	for v := Version(2); v < 3*maxOutOfOrder; v++ {
		must.True(t, o.applyBundle(time.Unix(0, 0), &Bundle{Version: v}))
		must.False(t, o.applyBundle(time.Unix(0, 0), &Bundle{Version: v}))
	}
}

func TestTreesReachEveryLiveHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 40).Draw(t, "hosts"), Flat{}, 1)
		trees := Trees{rapid.IntRange(1, 4).Draw(t, "trees")}
		up := make(map[ident.Host]bool)
		for _, host := range f.ring {
			up[host] = rapid.IntRange(0, 3).Draw(t, "up") > 0
		}
		for tree := range trees.Count {
			var first ident.Host
			reached := make(map[ident.Host]bool)
			visit := func(ident.Host) {}
			visit = func(host ident.Host) {
				reached[host] = true
				others := without(f.ring, host)
				for _, next := range trees.neighbors(NewPeers(host, others, up), tree) {
					if !reached[next] {
						visit(next)
					}
				}
			}
			alive := 0
			for host, isUp := range up {
				if isUp {
					first = host
					alive++
				}
			}
			if alive > 0 {
				visit(first)
				must.MapLen(t, alive, reached)
			}
		}
	})
}
