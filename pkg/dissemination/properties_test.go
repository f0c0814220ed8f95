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

// settle is long enough to repair everything after the last fault.
const settle = time.Minute

// marks holds the highest versions that a node was seen at.
type marks map[OriginID]Version

// check reports a view that went back.
func (m marks) check(n *fleetNode) error {
	for id, o := range n.origins {
		if o.whole < m[id] {
			return errors.Errorf("%s went back to version %d of origin %d", n.life.Host, o.whole, id)
		}
		m[id] = o.whole
	}
	return nil
}

// agree reports the first node that holds less than another of any origin.
func (f *fleet) agree() error {
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			for id, o := range a.origins {
				// What is younger than a few ticks may still be on its way.
				if f.now.Sub(o.heardAt) > 10*time.Second && b.whole(id) < o.whole {
					return errors.Errorf("%s lacks %d of origin %d", b.life.Host, o.whole, id)
				}
			}
		}
	}
	return nil
}

// sums reports a node whose totals differ from the first one's, or, where no
// process was killed, from what was consumed.
func (f *fleet) sums(killed bool) error {
	want := make(map[ident.Workspace]Use)
	for _, n := range f.nodes {
		for _, o := range n.origins {
			for _, h := range o.items {
				if use, ok := decodeUse(h.value); ok && o.known && h.key.Section == SectionConsumption {
					n.ledger.Take(o.life, Sum{ident.Workspace(h.key.Name), use})
				}
			}
		}
		for workspace, use := range n.total {
			want[workspace] = want[workspace].plus(use)
		}
	}
	for workspace := range want {
		first := f.nodes[0].total[workspace].plus(f.nodes[0].ledger.Elsewhere(workspace))
		for _, n := range f.nodes {
			got := n.total[workspace].plus(n.ledger.Elsewhere(workspace))
			if got != first || (!killed && got != want[workspace]) {
				return errors.Errorf("%s counts %v of %s, the first %v, consumed were %v", n.life.Host, got, workspace, first, want[workspace])
			}
		}
	}
	return nil
}

// renew gives a node a new incarnation, as after others had ended its old one.
func (f *fleet) renew(i int) {
	n := f.nodes[i]
	if n.down {
		return
	}
	n.life.Incarnation++
	n.Renew(f.now, n.life)
	n.ledger.Renew(n.life)
}

func TestViewsConvergeAndSumsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		strategy := rapid.SampledFrom([]Strategy{Flat{}, Epidemic{3, 8}, Trees{2}}).Draw(t, "strategy")
		f := newFleet(6, strategy, rapid.Uint64().Draw(t, "seed"))
		f.loss = 0.05
		killed := false
		seen := make(map[Life]marks)
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			i := rapid.IntRange(0, 5).Draw(t, "node")
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				if !f.nodes[i].down {
					f.kill(i, restartPause)
					killed = true
				}
			case 1:
				f.part(i + 1)
			case 2:
				f.part(0)
			case 3:
				f.renew(i)
			}
			for range rapid.IntRange(1, 100).Draw(t, "ticks") {
				f.step()
				for _, n := range f.nodes {
					first := Life{n.life.Host, ident.Incarnation(n.startedAt.UnixNano())}
					if seen[first] == nil {
						seen[first] = make(marks)
					}
					must.NoError(t, seen[first].check(n))
				}
			}
		}
		f.part(0)
		f.quiet = true
		f.run(settle)
		must.NoError(t, f.agree())
		must.NoError(t, f.sums(killed))
	})
}

func TestSumsCheckCatchesDoubleCounting(t *testing.T) {
	f := newFleet(4, Flat{}, 1)
	f.run(5 * time.Second)
	old := f.nodes[1].life
	f.renew(1)
	delete(f.nodes[1].ledger.mine, old)
	f.quiet = true
	f.run(settle)
	must.Error(t, f.sums(false))
}

func TestMarksCatchARegression(t *testing.T) {
	f := newFleet(2, Flat{}, 1)
	f.run(5 * time.Second)
	m := make(marks)
	must.NoError(t, m.check(f.nodes[0]))
	f.nodes[0].origins[f.nodes[1].self].whole = 0
	must.Error(t, m.check(f.nodes[0]))
}

func TestForgottenOriginStaysForgotten(t *testing.T) {
	n := NewNode(Life{"a", 1}, Flat{}, TimingFor(2), nil)
	now := time.Unix(0, 0)
	n.Receive(now, "b", &Frame{Bundles: []Bundle{{Origin: 7, Version: 1}}})
	must.NotNil(t, n.origins[7])
	n.forget(now, 7)
	n.Receive(now, "b", &Frame{Repairs: []Repair{{Origin: 7, Version: 2}}})
	must.Nil(t, n.origins[7])
}

func TestEarlyBundlesBeyondMemoryAreNotForwardedTwice(t *testing.T) {
	o := newOrigin(time.Unix(0, 0))
	for v := Version(2); v < 3*maxEarly; v++ {
		must.True(t, o.take(time.Unix(0, 0), &Bundle{Version: v}))
		must.False(t, o.take(time.Unix(0, 0), &Bundle{Version: v}))
	}
}

func TestTreesReachEveryHostWhateverIsDown(t *testing.T) {
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
				for _, next := range trees.beside(NewPeers(host, others, up), tree) {
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
