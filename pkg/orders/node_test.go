package orders_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/orders"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
)

// node is one simulated process that competes for duties.
type node struct {
	cluster *cluster
	host    ident.Host
	process *faultstore.Process
	leases  *lease.Manager
	engines *orders.EngineManager
	supply  *orders.SupplyManager
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu          sync.Mutex
	stall       stallPoint
	authorities map[ident.Duty]lease.Authority
}

// newNode returns the i-th node. Each node has its own failure domain.
func newNode(c *cluster, i int, clk clock.Clock) *node {
	n := &node{cluster: c, host: ident.Host(fmt.Sprintf("host-%d", i)), process: faultstore.NewProcess(), authorities: make(map[ident.Duty]lease.Authority)}
	var store external.Store = stallStore{faultstore.NewProcessStore(n.process, c.store), n}
	if c.disabled.journal {
		store = privateJournal{Store: store, host: n.host}
	}
	log := slog.New(slog.DiscardHandler)
	n.leases = lease.NewManager(lease.Options{
		Host: n.host, Incarnation: 1, FailureDomain: domainOf(i), Store: store, Clock: clk, Timing: lease.DefaultTiming(),
		Members: otherMembers{c, n.host}, Log: log, Random: rand.New(rand.NewPCG(3, uint64(i))),
	})
	n.engines = orders.NewEngineManager(orders.EngineOptions{
		Host: n.host, Incarnation: 1, NewPlanner: func(ident.Model) orders.EnginePlanner { return c }, View: c,
		Client: engineClient{n}, Store: store, Holds: c, Termination: c,
		Clock: clk, NewID: c.newID, Timing: orders.DefaultTiming(), Log: log,
	})
	n.supply = orders.NewSupplyManager(orders.SupplyOptions{
		Host: n.host, Incarnation: 1, NewPlanner: func() orders.SupplyPlanner { return c }, View: c, Platform: platformClient{n}, Store: store,
		NewID: c.newID, Timing: orders.DefaultTiming(), Log: log,
	})
	return n
}

// recordAuthority wraps work to record the authority that it runs under. If the
// authority check is disabled, the work runs with an authority that never ends.
func (n *node) recordAuthority(work lease.Work) lease.Work {
	return func(ctx context.Context, authority lease.Authority) error {
		n.mu.Lock()
		n.authorities[authority.Duty()] = authority
		n.mu.Unlock()
		if n.cluster.disabled.check {
			ctx, authority = n.ctx, endlessAuthority{authority, n.process}
		}
		return work(ctx, authority)
	}
}

// endlessAuthority is an authority that lasts until its process is killed.
type endlessAuthority struct {
	lease.Authority
	process *faultstore.Process
}

// Check fails only for a killed process.
func (a endlessAuthority) Check() error {
	if a.process.Killed() {
		return lease.ErrLost
	}
	return nil
}

// hasAuthority reports whether the node holds a duty now.
func (n *node) hasAuthority(d ident.Duty) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.authorities[d] != nil && n.authorities[d].Check() == nil
}
