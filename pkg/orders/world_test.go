package orders_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/duty"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/orders"
	"amaranthplank.example/amaranthplank/pkg/platform"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
	"amaranthplank.example/amaranthplank/pkg/target"
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
	placed    map[orders.SupplyGroup]platform.TargetOrder
	contents  map[string]int
	violated  []error
}

// revision is one state of the holds.
type revision struct {
	version platform.Version
	holds   config.Holds
	at      time.Time
}

// node is one process.
type node struct {
	world   *world
	host    ident.Host
	process *faultstore.Process
	leases  *lease.Manager
	engines *orders.EngineManager
	supply  *orders.SupplyManager
	root    context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu     sync.Mutex
	grants map[ident.Duty]lease.Authority
}

// newWorld returns a world that does not run yet. The first checking engines
// refuse old numbers.
func newWorld(checking int, off broken) *world {
	clk := clock.NewRuntime()
	w := &world{
		broken: off, memory: memstore.New(clk), engines: make(map[ident.Target]*engine),
		killedAt: make(map[ident.Host]time.Time), wanted: fleet.Prefill, count: 1,
		placed: make(map[orders.SupplyGroup]platform.TargetOrder), contents: make(map[string]int),
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

// newNode returns the i-th process, each in a failure domain of its own.
func newNode(w *world, i int, clk clock.Clock) *node {
	n := &node{world: w, host: ident.Host(fmt.Sprintf("host-%d", i)), process: faultstore.NewProcess(), grants: make(map[ident.Duty]lease.Authority)}
	var store platform.Store = faultstore.NewProcessStore(n.process, w.store)
	if w.broken.journal {
		store = privateJournal{Store: store, host: n.host}
	}
	log := slog.New(slog.DiscardHandler)
	n.leases = lease.NewManager(lease.Options{
		Host: n.host, Incarnation: 1, FailureDomain: domainOf(i), Store: store, Clock: clk, Terms: lease.DefaultTerms(),
		Members: others{w, n.host}, Log: log, Random: rand.New(rand.NewPCG(3, uint64(i))),
	})
	n.engines = orders.NewEngineManager(orders.EngineOptions{
		Host: n.host, Incarnation: 1, NewPlanner: func(ident.Model) orders.EnginePlanner { return w }, View: w,
		Client: client{n}, Store: store, Holds: w, Fates: w,
		Clock: clk, NewID: w.newID, Terms: orders.DefaultTerms(), Log: log,
	})
	n.supply = orders.NewSupplyManager(orders.SupplyOptions{
		Host: n.host, Incarnation: 1, NewPlanner: func() orders.SupplyPlanner { return w }, View: w, Platform: supplier{n}, Store: store,
		NewID: w.newID, Terms: orders.DefaultTerms(), Log: log,
	})
	return n
}

// privateJournal hides each process's journal from the others.
type privateJournal struct {
	platform.Store
	host ident.Host
}

// CompareAndSwap writes journal entries under the process's own name.
func (p privateJournal) CompareAndSwap(ctx context.Context, swap platform.Swap) (platform.Version, error) {
	swap.Key = p.own(swap.Key)
	return p.Store.CompareAndSwap(ctx, swap)
}

// Get reads journal entries under the process's own name.
func (p privateJournal) Get(ctx context.Context, key platform.Key) (platform.Entry, error) {
	return p.Store.Get(ctx, p.own(key))
}

// List reads journal entries under the process's own name.
func (p privateJournal) List(ctx context.Context, prefix platform.Key) ([]platform.Entry, error) {
	return p.Store.List(ctx, p.own(prefix))
}

// own returns the private name of a journal key.
func (p privateJournal) own(key platform.Key) platform.Key {
	if len(key) >= len(orders.KeyPrefix) && key[:len(orders.KeyPrefix)] == orders.KeyPrefix {
		return platform.Key(p.host) + "/" + key
	}
	return key
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

// work notes the authority that the work runs under.
func (n *node) work(work lease.Work) lease.Work {
	return func(ctx context.Context, authority lease.Authority) error {
		n.mu.Lock()
		n.grants[authority.Duty()] = authority
		n.mu.Unlock()
		if n.world.broken.check {
			ctx, authority = n.root, unchecked{authority, n.process}
		}
		return work(ctx, authority)
	}
}

// unchecked is an authority that never ends while its process lives.
type unchecked struct {
	lease.Authority
	process *faultstore.Process
}

// Check fails only for a killed process.
func (u unchecked) Check() error {
	if u.process.Killed() {
		return lease.ErrLost
	}
	return nil
}

// authorised reports whether the process's authority holds now.
func (n *node) authorised(d ident.Duty) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.grants[d] != nil && n.grants[d].Check() == nil
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

// readHolds notes a new state of the holds.
func (w *world) readHolds() {
	entry, err := w.memory.Get(context.Background(), config.HoldsKey)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || (len(w.revisions) > 0 && w.revisions[len(w.revisions)-1].version == entry.Version) {
		return
	}
	state := revision{version: entry.Version, at: time.Now()}
	if err := json.Unmarshal(entry.Value, &state.holds); err == nil {
		w.revisions = append(w.revisions, state)
	}
}

// held reports whether daemons keep new work from a target.
func (w *world) held(name ident.Target) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := false
	for _, r := range w.revisions {
		if time.Since(r.at) < holdLag {
			break
		}
		held = false
		for _, hold := range r.holds.Targets {
			held = held || hold.Target == name
		}
	}
	return held
}

// HoldsInForce implements orders.HoldAcceptance.
func (w *world) HoldsInForce(version ident.Revision) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.revisions {
		if ident.Revision(r.version) >= version && time.Since(r.at) >= holdLag+acceptAfter {
			return true
		}
	}
	return w.broken.hold
}

// Gone implements orders.ProcessFate with the lag of the host list.
func (w *world) Gone(host ident.Host, _ ident.Incarnation) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, killed := w.killedAt[host]
	return killed && time.Since(at) >= goneAfter
}

// newID returns the next order's id, in the order of making.
func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	return fmt.Sprintf("order-%06d", w.ids)
}

// want sets the role that the planner wants for all engines.
func (w *world) want(role fleet.Role) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wanted = role
}

// PlanEngines implements orders.EnginePlanner.
func (w *world) PlanEngines(snapshot *fleet.Snapshot, _ time.Time) []orders.Wanted {
	w.mu.Lock()
	role := w.wanted
	w.mu.Unlock()
	var list []orders.Wanted
	for i := range snapshot.Targets {
		if state := &snapshot.Targets[i]; state.Load.Role != role {
			list = append(list, orders.Wanted{Target: state.Record.Target, Order: target.Order{Kind: target.OrderRole, Role: role}})
		}
	}
	return list
}

// Snapshot implements fleet.View.
func (w *world) Snapshot() *fleet.Snapshot {
	var states []fleet.TargetState
	for i := range len(w.engines) {
		states = append(states, w.engines[ident.Target(fmt.Sprintf("engine-%d", i))].state())
	}
	return fleet.NewSnapshot(states)
}
