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

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
)

// domainsInWorld is how many failure domains the hosts are spread over.
const domainsInWorld = 4

// world is a set of processes that compete for the same duties.
type world struct {
	store  *faultstore.Store
	nodes  []*node
	duties []ident.Duty
	// split parts the first half of the nodes from the second.
	split atomic.Bool

	mu       sync.Mutex
	acquired map[ident.Duty][]acquisition
	broken   []error
}

// acquisition is one start of a duty's work.
type acquisition struct {
	host    ident.Host
	fencing ident.Fencing
	at      time.Time
}

// node is one process of the world.
type node struct {
	host    ident.Host
	process *faultstore.Process
	options lease.Options
	manager *lease.Manager
	cancel  context.CancelFunc
	work    sync.WaitGroup

	mu     sync.Mutex
	grants map[ident.Duty]lease.Authority
}

// skewedClock runs at a rate of its own.
type skewedClock struct {
	inner clock.Clock
	rate  float64
}

// Now returns the skewed time.
func (c skewedClock) Now() time.Duration { return time.Duration(float64(c.inner.Now()) * c.rate) }

// membersOf shows a node the others that were not killed.
type membersOf struct {
	world *world
	self  ident.Host
}

// Members returns the other nodes.
func (v membersOf) Members() []membership.Member {
	var members []membership.Member
	for i, n := range v.world.nodes {
		if n.host != v.self && !n.process.Killed() && v.world.inTouch(v.self, i) {
			members = append(members, membership.Member{Host: n.host, FailureDomain: domainOf(i), Status: membership.Alive})
		}
	}
	return members
}

// inTouch reports whether a host hears of the i-th node.
func (w *world) inTouch(self ident.Host, i int) bool {
	if !w.split.Load() {
		return true
	}
	for j, n := range w.nodes {
		if n.host == self {
			return (i < len(w.nodes)/2) == (j < len(w.nodes)/2)
		}
	}
	return false
}

// domainOf spreads hosts over the failure domains.
func domainOf(i int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprintf("domain-%d", i%domainsInWorld))
}

// newWorld returns processes that do not run yet. rate gives the rate of the
// i-th process's clock.
func newWorld(inner external.Store, hosts, duties int, terms lease.Terms, rate func(int) float64) *world {
	w := &world{store: faultstore.New(inner), acquired: make(map[ident.Duty][]acquisition)}
	for i := range duties {
		w.duties = append(w.duties, ident.Duty(fmt.Sprintf("engines/model-%d", i)))
	}
	base := clock.NewRuntime()
	for i := range hosts {
		n := &node{host: ident.Host(fmt.Sprintf("host-%d", i)), process: faultstore.NewProcess(), grants: make(map[ident.Duty]lease.Authority)}
		n.options = lease.Options{
			Host: n.host, Incarnation: 1, FailureDomain: domainOf(i), Terms: terms,
			Store: faultstore.NewProcessStore(n.process, w.store), Clock: skewedClock{inner: base, rate: rate(i)},
			Members: membersOf{world: w, self: n.host}, Log: slog.New(slog.DiscardHandler),
			Random: rand.New(rand.NewPCG(7, uint64(i))),
		}
		n.manager = lease.NewManager(n.options)
		w.nodes = append(w.nodes, n)
	}
	return w
}

// evenRate is the rate of a clock that runs true.
func evenRate(int) float64 { return 1 }

// start runs all processes.
func (w *world) start() {
	for _, n := range w.nodes {
		ctx, cancel := context.WithCancel(context.Background())
		n.cancel = cancel
		for _, d := range w.duties {
			n.work.Go(func() { _ = n.manager.Run(ctx, d, w.workOf(n)) })
		}
	}
}

// workOf keeps a node's authorities and checks the order of fencing numbers.
func (w *world) workOf(n *node) lease.Work {
	return func(ctx context.Context, authority lease.Authority) error {
		w.note(n, authority)
		n.mu.Lock()
		n.grants[authority.Duty()] = authority
		n.mu.Unlock()
		<-ctx.Done()
		return nil
	}
}

// note records an acquisition and checks that its fencing number rose.
func (w *world) note(n *node, authority lease.Authority) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.acquired[authority.Duty()]
	if len(list) > 0 {
		last := list[len(list)-1]
		if authority.Fencing() < last.fencing || (authority.Fencing() == last.fencing && last.host != n.host) {
			w.broken = append(w.broken, errors.Errorf("%s: fencing %d after %d", authority.Duty(), authority.Fencing(), last.fencing))
		}
	}
	w.acquired[authority.Duty()] = append(list, acquisition{host: n.host, fencing: authority.Fencing(), at: time.Now()})
}

// believers counts who believes at present to hold a duty.
func (w *world) believers(d ident.Duty) int {
	count := 0
	for _, n := range w.nodes {
		n.mu.Lock()
		authority := n.grants[d]
		n.mu.Unlock()
		if !n.process.Killed() && authority != nil && authority.Check() == nil {
			count++
		}
	}
	return count
}

// advance lets time pass and checks at each step that at most one process
// believes to hold each duty.
func (w *world) advance(d time.Duration) {
	const look = 50 * time.Millisecond
	for range d / look {
		time.Sleep(look)
		synctest.Wait()
		for _, duty := range w.duties {
			if n := w.believers(duty); n > 1 {
				w.mu.Lock()
				w.broken = append(w.broken, errors.Errorf("%s: %d believers", duty, n))
				w.mu.Unlock()
			}
		}
	}
}

// stop ends all processes.
func (w *world) stop() {
	for _, n := range w.nodes {
		n.process.Kill()
		n.cancel()
	}
	for _, n := range w.nodes {
		n.work.Wait()
	}
}

// violation returns the first broken invariant.
func (w *world) violation() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.broken) == 0 {
		return nil
	}
	return w.broken[0]
}

// newStore returns an empty store in the runtime's time.
func newStore() external.Store { return memstore.New(clock.NewRuntime()) }
