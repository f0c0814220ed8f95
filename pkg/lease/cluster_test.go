package lease_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
	"amaranthplank.example/amaranthplank/pkg/storeera"
)

// domainCount is how many failure domains the hosts are spread over.
const domainCount = 4

// cluster is a set of processes that compete for the same duties.
type cluster struct {
	store  *faultstore.Store
	nodes  []*node
	duties []ident.Duty
	// partitioned hides the two halves of the nodes from each other.
	partitioned atomic.Bool

	mu         sync.Mutex
	acquired   map[ident.Duty][]acquisition
	violations []error
}

// acquisition records one start of a duty's work.
type acquisition struct {
	host    ident.Host
	fencing ident.FencingToken
	at      time.Time
}

// node is one process of the cluster.
type node struct {
	host    ident.Host
	process *faultstore.Process
	guard   *storeera.Guard
	options lease.Options
	manager *lease.Manager
	cancel  context.CancelFunc
	work    sync.WaitGroup

	mu          sync.Mutex
	authorities map[ident.Duty]lease.Authority
}

// skewedClock runs at a multiple of the rate of another clock.
type skewedClock struct {
	inner clock.Clock
	rate  float64
}

// Now returns the skewed time.
func (c skewedClock) Now() time.Duration { return time.Duration(float64(c.inner.Now()) * c.rate) }

// membershipView is a node's view of the other nodes that were not killed.
type membershipView struct {
	cluster *cluster
	self    ident.Host
}

// Members returns the other nodes.
func (v membershipView) Members() []membership.Member {
	var members []membership.Member
	for i, n := range v.cluster.nodes {
		if n.host != v.self && !n.process.Killed() && v.cluster.reachable(v.self, i) {
			members = append(members, membership.Member{Host: n.host, FailureDomain: domainOf(i), Status: membership.Alive})
		}
	}
	return members
}

// reachable reports whether a host and the i-th node are on the same side of a
// partition.
func (c *cluster) reachable(self ident.Host, i int) bool {
	if !c.partitioned.Load() {
		return true
	}
	for j, n := range c.nodes {
		if n.host == self {
			return (i < len(c.nodes)/2) == (j < len(c.nodes)/2)
		}
	}
	return false
}

// domainOf returns the failure domain of the i-th host.
func domainOf(i int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprintf("domain-%d", i%domainCount))
}

// newCluster returns processes that are not started yet. rate returns the rate of
// the i-th process's clock.
func newCluster(inner external.Store, hosts, duties int, timing lease.Timing, rate func(int) float64) *cluster {
	c := &cluster{store: faultstore.New(inner), acquired: make(map[ident.Duty][]acquisition)}
	for i := range duties {
		c.duties = append(c.duties, ident.Duty(fmt.Sprintf("engines/model-%d", i)))
	}
	base := clock.NewRuntime()
	for i := range hosts {
		n := &node{host: ident.Host(fmt.Sprintf("host-%d", i)), process: faultstore.NewProcess(), authorities: make(map[ident.Duty]lease.Authority)}
		n.guard = storeera.New(faultstore.NewProcessStore(n.process, c.store), slog.New(slog.DiscardHandler), prometheus.NewRegistry())
		n.options = lease.Options{
			Host: n.host, Incarnation: 1, FailureDomain: domainOf(i), Timing: timing,
			Store: n.guard, Clock: skewedClock{inner: base, rate: rate(i)},
			Members: membershipView{cluster: c, self: n.host}, Log: slog.New(slog.DiscardHandler),
			Random: rand.New(rand.NewPCG(7, uint64(i))),
		}
		n.manager = lease.NewManager(n.options)
		c.nodes = append(c.nodes, n)
	}
	return c
}

// exactRate is the rate of a clock without drift.
func exactRate(int) float64 { return 1 }

// start runs all processes.
func (c *cluster) start() {
	for _, n := range c.nodes {
		ctx, cancel := context.WithCancel(context.Background())
		n.cancel = cancel
		for _, d := range c.duties {
			n.work.Go(func() { _ = n.manager.Run(ctx, d, c.workOf(n)) })
		}
	}
}

// workOf returns work that records the acquisition and the authority and then
// waits for ctx to end.
func (c *cluster) workOf(n *node) lease.Work {
	return func(ctx context.Context, authority lease.Authority) error {
		c.recordAcquisition(n, authority)
		n.mu.Lock()
		n.authorities[authority.Duty()] = authority
		n.mu.Unlock()
		<-ctx.Done()
		return nil
	}
}

// recordAcquisition records an acquisition and checks that its fencing token is
// higher than the previous one; the same host may repeat its token.
func (c *cluster) recordAcquisition(n *node, authority lease.Authority) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.acquired[authority.Duty()]
	if len(list) > 0 {
		last := list[len(list)-1]
		if authority.Fencing() < last.fencing || (authority.Fencing() == last.fencing && last.host != n.host) {
			c.violations = append(c.violations, errors.Errorf("%s: fencing %d after %d", authority.Duty(), authority.Fencing(), last.fencing))
		}
	}
	c.acquired[authority.Duty()] = append(list, acquisition{host: n.host, fencing: authority.Fencing(), at: time.Now()})
}

// holderCount returns how many running processes have valid authority for a duty.
func (c *cluster) holderCount(d ident.Duty) int {
	count := 0
	for _, n := range c.nodes {
		n.mu.Lock()
		authority := n.authorities[d]
		n.mu.Unlock()
		if !n.process.Killed() && authority != nil && authority.Check() == nil {
			count++
		}
	}
	return count
}

// advance lets time pass and checks at each step that at most one process
// has valid authority for each duty.
func (c *cluster) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for range d / step {
		time.Sleep(step)
		synctest.Wait()
		for _, duty := range c.duties {
			if n := c.holderCount(duty); n > 1 {
				c.mu.Lock()
				c.violations = append(c.violations, errors.Errorf("%s: %d concurrent holders", duty, n))
				c.mu.Unlock()
			}
		}
	}
}

// stop kills all processes and waits for their work to return.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.process.Kill()
		n.cancel()
	}
	for _, n := range c.nodes {
		n.work.Wait()
	}
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

// newStore returns an empty store that uses the runtime's clock.
func newStore() external.Store { return memstore.New(clock.NewRuntime()) }
