package orders_test

import (
	"context"
	"fmt"
	"sync"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/duty"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/orders"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
)

const (
	// holdLag is how long daemons take to apply a hold.
	holdLag = 5 * time.Second
	// acceptLag is the additional time until a hold is reported as in force.
	acceptLag = 200 * time.Millisecond
	// goneAfter is how long after a kill the process is known to be gone.
	goneAfter = 12 * time.Second
	// tick is the time step of the simulation.
	tick = 100 * time.Millisecond
)

// disabled has the safety mechanisms that a test turns off.
type disabled struct {
	fencing, journal, check, hold bool
}

// cluster simulates three nodes that compete for a duty, two engines and requests
// to the engines. It records violated invariants.
type cluster struct {
	disabled disabled
	memory   *memstore.Store
	store    *faultstore.Store
	nodes    []*node
	engines  map[ident.Target]*fakeEngine
	ids      int

	mu       sync.Mutex
	killedAt map[ident.Host]time.Time
	// holdRevisions has the states of the holds, oldest first.
	holdRevisions []holdRevision
	wantedRole    fleet.Role
	wantedCount   int
	placedOrders  map[orders.SupplyGroup]external.TargetOrder
	orderCounts   map[string]int
	violations    []error
}

// holdRevision is one state of the holds and the time when it was first read.
type holdRevision struct {
	version external.Version
	holds   config.Holds
	at      time.Time
}

// newCluster returns a cluster that is not running yet. checking is how many of the
// engines refuse old fencing tokens.
func newCluster(checking int, off disabled) *cluster {
	clk := clock.NewRuntime()
	c := &cluster{
		disabled: off, memory: memstore.New(clk), engines: make(map[ident.Target]*fakeEngine),
		killedAt: make(map[ident.Host]time.Time), wantedRole: fleet.Prefill, wantedCount: 1,
		placedOrders: make(map[orders.SupplyGroup]external.TargetOrder), orderCounts: make(map[string]int),
	}
	c.store = faultstore.New(c.memory)
	for i := range 2 {
		name := ident.Target(fmt.Sprintf("engine-%d", i))
		c.engines[name] = newFakeEngine(c, name, i, i < checking)
	}
	for i := range 3 {
		c.nodes = append(c.nodes, newNode(c, i, clk))
	}
	return c
}

// domainOf returns the name of the i-th failure domain.
func domainOf(i int) ident.FailureDomain { return ident.FailureDomain(fmt.Sprintf("domain-%d", i)) }

// otherMembers is one node's membership view: the other nodes that run.
type otherMembers struct {
	cluster *cluster
	self    ident.Host
}

// Members returns the other nodes that were not killed.
func (o otherMembers) Members() []membership.Member {
	var members []membership.Member
	for i, n := range o.cluster.nodes {
		if n.host != o.self && !n.process.Killed() {
			members = append(members, membership.Member{Host: n.host, FailureDomain: domainOf(i), Status: membership.Alive})
		}
	}
	return members
}

// start starts the nodes, which compete for one duty.
func (c *cluster) start(d ident.Duty) {
	for _, n := range c.nodes {
		ctx, cancel := context.WithCancel(context.Background())
		n.ctx, n.cancel = ctx, cancel
		n.running.Go(func() { _ = n.engines.Run(ctx) })
		work := n.engines.Work
		if d == duty.Supply {
			work = n.supply.Work
		}
		n.running.Go(func() { _ = n.leases.Run(ctx, d, n.recordAuthority(work)) })
	}
}

// holder returns the node that holds a duty, or nil.
func (c *cluster) holder(d ident.Duty) *node {
	for _, n := range c.nodes {
		if n.hasAuthority(d) && !n.process.Killed() {
			return n
		}
	}
	return nil
}

// advance advances the simulated time, with requests to the engines.
func (c *cluster) advance(d time.Duration) {
	for range d / tick {
		c.readHolds()
		for _, e := range c.engines {
			e.offerRequest(c.held(e.name))
		}
		c.noteKills()
		time.Sleep(tick)
		synctest.Wait()
	}
}

// noteKills records when nodes were killed.
func (c *cluster) noteKills() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if _, noted := c.killedAt[n.host]; n.process.Killed() && !noted {
			c.killedAt[n.host] = time.Now()
		}
	}
}

// stop kills the nodes and waits until their goroutines have ended.
func (c *cluster) stop() {
	c.store.Set(faultstore.Faults{})
	for _, n := range c.nodes {
		n.process.Kill()
		n.cancel()
	}
	for _, n := range c.nodes {
		n.running.Wait()
	}
}

// recordViolation records a violated invariant.
func (c *cluster) recordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, errors.Errorf(format, args...))
}

// violation returns the first violated invariant, or nil.
func (c *cluster) violation() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.violations) == 0 {
		return nil
	}
	return c.violations[0]
}
