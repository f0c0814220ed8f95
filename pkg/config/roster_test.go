package config

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
)

// TestMajoritiesOfSuccessiveRostersIntersect checks with random hosts and members
// that two successive rosters can't have disjoint majorities.
func TestMajoritiesOfSuccessiveRostersIntersect(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		current := Roster{Hosts: []ident.Host{hostName(0), hostName(1), hostName(2)}}
		for range 30 {
			var listed []external.HostRecord
			var members []membership.Member
			for i := range 8 {
				if rapid.Bool().Draw(rt, "listed") {
					listed = append(listed, external.HostRecord{Host: hostName(i), Leaving: rapid.Bool().Draw(rt, "leaving")})
				}
				status := rapid.SampledFrom([]membership.Status{membership.Alive, membership.Suspect, membership.Dead, membership.Left}).Draw(rt, "status")
				members = append(members, membership.Member{Host: hostName(i), Status: status, Revision: ident.Revision(rapid.IntRange(0, 1).Draw(rt, "revision"))})
			}
			next, changed := NextRoster(current, listed, members)
			if !changed {
				continue
			}
			must.Positive(t, len(next.Hosts))
			union := slices.Compact(slices.Sorted(slices.Values(append(slices.Clone(next.Hosts), current.Hosts...))))
			must.Greater(t, len(union), majorityOf(len(next.Hosts))+majorityOf(len(current.Hosts)))
			must.Eq(t, current.Hosts, next.Former)
			current = next
		}
	})
}

// heldAuthority is an authority that is always valid.
type heldAuthority struct{}

func (heldAuthority) Duty() ident.Duty            { return RosterDuty }
func (heldAuthority) Fencing() ident.FencingToken { return 1 }
func (a heldAuthority) Call(ctx context.Context, send func(ctx context.Context) error) error {
	return lease.CallUnder(ctx, a, send)
}

func (heldAuthority) Check() error { return nil }

var _ lease.Authority = heldAuthority{}

// fixedHosts is a fixed list of hosts.
type fixedHosts []external.HostRecord

func (l fixedHosts) Hosts(context.Context) ([]external.HostRecord, error) { return l, nil }

func TestRosterChangesOneHostAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t.Context(), 5)
		time.Sleep(5 * time.Second)
		n := c.nodes[0]
		for i, gone := range c.nodes[3:] {
			gone.cancel()
			<-gone.done
			n.markDead(3 + i)
		}
		keeper := RosterKeeper{
			Manager: n.manager, Acceptance: NewAcceptance(n.manager), Log: slog.New(slog.DiscardHandler),
			Hosts: fixedHosts{{Host: hostName(0)}, {Host: hostName(1)}, {Host: hostName(2)}},
		}
		step := func(hosts int, why string) {
			must.NoError(t, keeper.Step(t.Context(), heldAuthority{}))
			must.SliceLen(t, hosts, n.manager.Holds().Holds.Roster.Hosts, must.Sprint(why))
		}
		step(4, "one of two hosts is removed")
		step(4, "the previous step is not accepted yet")
		time.Sleep(10 * time.Second)
		step(3, "the previous step is accepted")
		time.Sleep(10 * time.Second)
		step(3, "nothing is left to do")
		c.stop()
	})
}

// TestHoldsTakeEffectOnceEveryServingDaemonHasLoadedThem isolates one daemon from
// the store and its peers. Once HoldsInForce is true, every daemon must either
// apply them or not serve.
func TestHoldsTakeEffectOnceEveryServingDaemonHasLoadedThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t.Context(), 3)
		time.Sleep(5 * time.Second)
		entry, err := c.inner.Get(t.Context(), HoldsKey)
		must.NoError(t, err)
		holds, err := ParseHolds(entry.Value)
		must.NoError(t, err)
		holds.Targets = []Hold{{Target: "e1"}}
		version := c.writeHolds(t, holds, entry.Version)
		acceptance := NewAcceptance(c.nodes[0].manager)
		start := time.Now()
		c.partition(func(i int) bool { return i == 2 })
		c.nodes[2].store.Set(faultstore.Faults{Down: true, SilentWatches: true})
		for !acceptance.HoldsInForce(ident.Revision(version)) {
			time.Sleep(100 * time.Millisecond)
		}
		must.GreaterEq(t, DefaultTiming().PropagationBound(), time.Since(start))
		for _, n := range c.nodes {
			must.True(t, n.manager.IsHeld("e1") || n.manager.Ready() != nil)
		}
		c.stop()
	})
}
