package config

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
)

// heartbeatInterval is the interval between a test daemon's heartbeats.
const heartbeatInterval = 500 * time.Millisecond

// maxBufferedHeartbeats is how many heartbeats a cut link buffers until it heals.
const maxBufferedHeartbeats = 3

// testCluster is a small fleet that runs in fake time.
type testCluster struct {
	ctx   context.Context
	inner *memstore.Store
	nodes []*testNode

	mu       sync.Mutex
	cutLinks map[[2]int]bool
	// buffered holds the heartbeats buffered by cut links and for paused daemons.
	buffered map[[2]int][]heartbeat
}

// heartbeat is what a daemon reports to its peers.
type heartbeat struct {
	incarnation ident.Incarnation
	revisions   Revisions
}

// testNode is one daemon of the cluster. It implements the View, Mesh and Clock of
// its manager.
type testNode struct {
	cluster *testCluster
	index   int
	clock   clock.Runtime
	store   *faultstore.Store
	applier *Applier
	manager *Manager
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}

	mu          sync.Mutex
	incarnation ident.Incarnation
	pausedUntil time.Time
	members     map[int]membership.Member
	handler     peer.Handler
}

func hostName(i int) ident.Host { return ident.Host(fmt.Sprintf("h%d", i)) }

func newTestCluster(ctx context.Context, hosts int) *testCluster {
	c := &testCluster{ctx: ctx, inner: memstore.New(clock.NewRuntime()), cutLinks: make(map[[2]int]bool), buffered: make(map[[2]int][]heartbeat)}
	var holds Holds
	for i := range hosts {
		holds.Roster.Hosts = append(holds.Roster.Hosts, hostName(i))
	}
	value, _ := json.Marshal(holds)
	_, _ = c.inner.CompareAndSwap(ctx, external.Swap{Key: HoldsKey, Value: value})
	_, _ = c.inner.CompareAndSwap(ctx, external.Swap{Key: StoreKey, Value: []byte(`{}`)})
	for i := range hosts {
		c.nodes = append(c.nodes, &testNode{cluster: c, index: i, clock: clock.NewRuntime(), store: faultstore.New(c.inner)})
	}
	for _, n := range c.nodes {
		n.reset()
	}
	for _, n := range c.nodes {
		n.run()
	}
	return c
}

// reset creates a new incarnation of the daemon without any state. It is started
// by run.
func (n *testNode) reset() {
	ctx, cancel := context.WithCancel(n.cluster.ctx)
	n.mu.Lock()
	n.incarnation++
	n.members = make(map[int]membership.Member)
	n.ctx, n.cancel, n.done = ctx, cancel, make(chan struct{})
	n.mu.Unlock()
	random := rand.New(rand.NewPCG(uint64(n.index), uint64(n.incarnation)))
	m := NewManager(Options{Host: hostName(n.index), Store: n.store, Mesh: n, View: n, Clock: n, Random: random})
	acceptance := NewAcceptance(m)
	n.mu.Lock()
	n.manager = m
	n.applier = &Applier{Manager: m, Acceptance: acceptance, PollInterval: 50 * time.Millisecond, Timeout: 8 * time.Second}
	n.mu.Unlock()
}

// run starts the daemon, which runs until it is canceled.
func (n *testNode) run() {
	ctx, m, done := n.ctx, n.manager, n.done
	go func() {
		defer close(done)
		var wg sync.WaitGroup
		wg.Go(func() { _ = m.Run(ctx) })
		wg.Go(func() { n.sendHeartbeats(ctx, m) })
		wg.Wait()
	}()
}

// restart replaces the daemon with a new incarnation.
func (n *testNode) restart() {
	n.cancel()
	<-n.done
	n.reset()
	n.run()
}

// Now returns the time of the daemon's clock. While the daemon is paused it blocks,
// which stops the daemon's goroutines.
func (n *testNode) Now() time.Duration {
	for {
		n.mu.Lock()
		left := time.Until(n.pausedUntil)
		n.mu.Unlock()
		if left <= 0 {
			return n.clock.Now()
		}
		time.Sleep(left)
	}
}

func (n *testNode) pause(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pausedUntil = time.Now().Add(d)
}

func (n *testNode) paused() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.pausedUntil)
}

// sendHeartbeats reports the loaded revisions to the other daemons until ctx is
// done.
func (n *testNode) sendHeartbeats(ctx context.Context, m *Manager) {
	for ctx.Err() == nil {
		n.Now()
		config, holds := m.Loaded()
		for j := range n.cluster.nodes {
			if j != n.index {
				n.cluster.deliver(n.index, j, heartbeat{incarnation: n.incarnation, revisions: Revisions{Config: config, Holds: holds}})
			}
		}
		sleep(ctx, heartbeatInterval)
	}
}

// deliver delivers a heartbeat after those that were buffered before it, or buffers
// it if the link is cut or the receiver is paused.
func (c *testCluster) deliver(from, to int, next heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	link := [2]int{from, to}
	if c.cutLinks[link] || c.nodes[to].paused() {
		if len(c.buffered[link]) < maxBufferedHeartbeats {
			c.buffered[link] = append(c.buffered[link], next)
		}
		return
	}
	for _, late := range append(c.buffered[link], next) {
		c.nodes[to].receiveHeartbeat(from, late)
	}
	delete(c.buffered, link)
}

// receiveHeartbeat records a heartbeat as received now, even if it was buffered.
func (n *testNode) receiveHeartbeat(from int, received heartbeat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members[from] = membership.Member{
		Host: hostName(from), Incarnation: received.incarnation, Status: membership.Alive, LastSeenAt: time.Now(),
		Revision: received.revisions.Config, HoldsRevision: received.revisions.Holds,
	}
}

func (n *testNode) Members() []membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var members []membership.Member
	for i := range n.cluster.nodes {
		if member, ok := n.members[i]; ok {
			members = append(members, member)
		}
	}
	return members
}

func (n *testNode) Handle(_ peer.Kind, handler peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handler = handler
}

func (n *testNode) Send(to ident.Host, message peer.Message) error {
	for j, other := range n.cluster.nodes {
		if hostName(j) != to {
			continue
		}
		n.cluster.mu.Lock()
		cut := n.cluster.cutLinks[[2]int{n.index, j}]
		n.cluster.mu.Unlock()
		if cut || other.paused() {
			return fault.New(fault.Unavailable, "no link", "")
		}
		other.mu.Lock()
		handler := other.handler
		other.mu.Unlock()
		handler(hostName(n.index), message)
		return nil
	}
	return fault.New(fault.Unavailable, "no such host", "")
}

// partition splits the hosts into two sides that can't reach each other. If side
// returns the same for all hosts, it heals all links.
func (c *testCluster) partition(side func(i int) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.nodes {
		for j := range c.nodes {
			c.cutLinks[[2]int{i, j}] = side(i) != side(j)
		}
	}
}

// setStoreFaults sets the faults of the store as seen by every daemon.
func (c *testCluster) setStoreFaults(faults faultstore.Faults) {
	for _, n := range c.nodes {
		n.store.Set(faults)
	}
}

// stop stops every daemon.
func (c *testCluster) stop() {
	for _, n := range c.nodes {
		n.cancel()
	}
	for _, n := range c.nodes {
		<-n.done
	}
}

// markDead marks a host as dead in the daemon's view.
func (n *testNode) markDead(i int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	member := n.members[i]
	member.Status = membership.Dead
	n.members[i] = member
}

func (c *testCluster) writeHolds(t *testing.T, holds Holds, base external.Version) external.Version {
	value, err := json.Marshal(holds)
	must.NoError(t, err)
	version, err := c.inner.CompareAndSwap(c.ctx, external.Swap{Key: HoldsKey, Base: base, Value: value})
	must.NoError(t, err)
	return version
}
