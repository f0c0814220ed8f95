package dissemination

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// stack is the links, membership and dissemination of one daemon on loopback.
type stack struct {
	links   *peer.Manager
	members *membership.Manager
	state   *Manager
	stop    func() error
}

// startStack starts the stack of a daemon of the fleet that the seeds list.
func startStack(t *testing.T, listener net.Listener, self external.HostRecord, incarnation ident.Incarnation, seeds []external.HostRecord) *stack {
	t.Helper()
	s := new(stack)
	registry := prometheus.NewRegistry()
	changed := func(host ident.Host, incarnation ident.Incarnation, up bool) {
		s.members.LinkChanged(host, incarnation, up)
	}
	var err error
	s.links, err = peer.New(peer.Options{
		Host: self.Host, Incarnation: incarnation, Listener: listener, Secret: []byte("fleet"), Registerer: registry, LinkChanged: changed,
	})
	must.NoError(t, err)
	loaded := func() (ident.Revision, ident.Revision) { return loadedRevision, 1 }
	s.members = membership.New(membership.Options{
		Self: membership.Record{Host: self.Host, Incarnation: incarnation, Address: self.PeerAddress}, Links: s.links, Seeds: seeds,
		Loaded: loaded, Registerer: registry, Neighbors: Neighbors,
	})
	s.state = New(Options{Links: s.links, Members: s.members, Loaded: loaded, Registerer: registry})
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.links.Run(ctx) })
	group.Go(func() error { return s.members.Run(ctx) })
	group.Go(func() error { return s.state.Run(ctx) })
	s.stop = func() error {
		cancel()
		return group.Wait()
	}
	return s
}

// loadedRevision is the revision that every daemon reports as loaded.
const loadedRevision ident.Revision = 3

// hasConverged reports whether the daemon holds an item of every host, and the newest
// incarnation and the loaded revision of every other host.
func (s *stack) hasConverged(hosts int, newest map[ident.Host]ident.Incarnation) bool {
	for _, member := range s.members.Members() {
		if member.Incarnation != newest[member.Host] || member.Revision != loadedRevision {
			return false
		}
	}
	holders := make(map[ident.Host]bool)
	for _, item := range s.state.Items(SectionLoad) {
		holders[item.Instance.Host] = true
	}
	alive := membership.AliveHosts(s.members.Members())
	return len(holders) == hosts && len(alive) == hosts-1 && s.state.RemoteConsumption("shops").Tokens >= uint64(10*(hosts-1))
}

func TestDaemonsShareStateOverRealLinks(t *testing.T) {
	t.Run("mesh", func(t *testing.T) { shareState(t, 4) })
	t.Run("trees", func(t *testing.T) { shareState(t, 12) })
}

// shareState runs the given number of daemons, waits until they share their
// state, and replaces the one with the highest name, which dials no other.
func shareState(t *testing.T, hosts int) {
	defer goleak.VerifyNone(t)
	var seeds []external.HostRecord
	var listeners []net.Listener
	newest := make(map[ident.Host]ident.Incarnation)
	for i := range hosts {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		listeners = append(listeners, listener)
		seeds = append(seeds, external.HostRecord{Host: ident.Host(fmt.Sprintf("host-%02d", i)), PeerAddress: listener.Addr().String()})
		newest[seeds[i].Host] = 1
	}
	publish := func(s *stack, i int) {
		must.NoError(t, s.state.Publish(Key{SectionLoad, fmt.Sprintf("engine-%d", i)}, i, false))
		s.state.AddConsumption("shops", Consumption{1, 10})
	}
	var stacks []*stack
	for i := range hosts {
		stacks = append(stacks, startStack(t, listeners[i], seeds[i], 1, seeds))
		publish(stacks[i], i)
	}
	converged := func() bool {
		for _, s := range stacks {
			if !s.hasConverged(hosts, newest) {
				return false
			}
		}
		return true
	}
	wait := func(what string) {
		t.Helper()
		for end := time.Now().Add(time.Minute); !converged(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("timed out waiting for " + what)
			}
		}
	}
	wait("the state of every daemon at every daemon")
	last := hosts - 1
	must.NoError(t, stacks[last].stop())
	listener, err := net.Listen("tcp", seeds[last].PeerAddress)
	must.NoError(t, err)
	stacks[last] = startStack(t, listener, seeds[last], 2, seeds)
	newest[seeds[last].Host] = 2
	publish(stacks[last], last)
	wait("the state of the replaced host")
	must.Len(t, hosts-1, stacks[0].members.Members())
	for _, s := range stacks {
		must.NoError(t, s.stop())
	}
}
