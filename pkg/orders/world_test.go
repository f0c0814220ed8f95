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
	// holdLag is how long daemons take to learn of a hold, and acceptAfter how
	// much longer it takes until that is known.
	holdLag     = 5 * time.Second
	acceptAfter = 200 * time.Millisecond
	// goneAfter is how long after a kill the process is known to be gone.
	goneAfter = 12 * time.Second
	// tick is the step of the world's time.
	tick = 100 * time.Millisecond
)

// broken names mechanisms that a test turns off.
type broken struct {
	fencing, journal, check, hold bool
}

// world is three processes, three engines and the callers' traffic.
type world struct {
	broken  broken
	memory  *memstore.Store
	store   *faultstore.Store
	nodes   []*node
	engines map[ident.Target]*engine
	ids     int

	mu       sync.Mutex
	killedAt map[ident.Host]time.Time
	// revisions are the holds with the time of their writing.
	revisions []revision
	wanted    fleet.Role
	count     int
	placed    map[orders.SupplyGroup]external.TargetOrder
	contents  map[string]int
	violated  []error
}

// revision is one state of the holds.
type revision struct {
	version external.Version
	holds   config.Holds
	at      time.Time
}

// newWorld returns a world that does not run yet. The first checking engines
// refuse old numbers.
func newWorld(checking int, off broken) *world {
	clk := clock.NewRuntime()
	w := &world{
		broken: off, memory: memstore.New(clk), engines: make(map[ident.Target]*engine),
		killedAt: make(map[ident.Host]time.Time), wanted: fleet.Prefill, count: 1,
		placed: make(map[orders.SupplyGroup]external.TargetOrder), contents: make(map[string]int),
	}
	w.store = faultstore.New(w.memory)
	for i := range 2 {
		name := ident.Target(fmt.Sprintf("engine-%d", i))
		w.engines[name] = newEngine(w, name, i, i < checking)
	}
	for i := range 3 {
		w.nodes = append(w.nodes, newNode(w, i, clk))
	}
	return w
}

// domainOf names the i-th failure domain.
func domainOf(i int) ident.FailureDomain { return ident.FailureDomain(fmt.Sprintf("domain-%d", i)) }

// others shows a process the ones that were not killed.
type others struct {
	world *world
	self  ident.Host
}

// Members returns the other processes.
func (o others) Members() []membership.Member {
	var members []membership.Member
	for i, n := range o.world.nodes {
		if n.host != o.self && !n.process.Killed() {
			members = append(members, membership.Member{Host: n.host, FailureDomain: domainOf(i), Status: membership.Alive})
		}
	}
	return members
}

// start runs the processes, which compete for one duty.
func (w *world) start(d ident.Duty) {
	for _, n := range w.nodes {
		ctx, cancel := context.WithCancel(context.Background())
		n.root, n.cancel = ctx, cancel
		n.running.Go(func() { _ = n.engines.Run(ctx) })
		work := n.engines.Work
		if d == duty.Supply {
			work = n.supply.Work
		}
		n.running.Go(func() { _ = n.leases.Run(ctx, d, n.work(work)) })
	}
}

// holder returns the process that holds a duty, or nil.
func (w *world) holder(d ident.Duty) *node {
	for _, n := range w.nodes {
		if n.authorised(d) && !n.process.Killed() {
			return n
		}
	}
	return nil
}

// advance lets time pass, with traffic.
func (w *world) advance(d time.Duration) {
	for range d / tick {
		w.readHolds()
		for _, e := range w.engines {
			e.step(w.held(e.name))
		}
		w.noteKills()
		time.Sleep(tick)
		synctest.Wait()
	}
}

// noteKills notes when processes died.
func (w *world) noteKills() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		if _, noted := w.killedAt[n.host]; n.process.Killed() && !noted {
			w.killedAt[n.host] = time.Now()
		}
	}
}

// stop ends the processes.
func (w *world) stop() {
	w.store.Set(faultstore.Faults{})
	for _, n := range w.nodes {
		n.process.Kill()
		n.cancel()
	}
	for _, n := range w.nodes {
		n.running.Wait()
	}
}

// violate notes a broken invariant.
func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violated = append(w.violated, errors.Errorf(format, args...))
}

// violation returns the first broken invariant.
func (w *world) violation() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violated) == 0 {
		return nil
	}
	return w.violated[0]
}
