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

// beatEvery is the time between the fake daemons' heartbeats.
const beatEvery = 500 * time.Millisecond

// heldBeats is how many heartbeats a cut link holds back until it heals.
const heldBeats = 3

// world is a small fleet in fake time.
type world struct {
	ctx   context.Context
	inner *memstore.Store
	nodes []*node

	mu  sync.Mutex
	cut map[[2]int]bool
	// held are the heartbeats that cut links and paused daemons hold back.
	held map[[2]int][]beat
}

type beat struct {
	incarnation ident.Incarnation
	revisions   Revisions
}

// node is one daemon of the world. It is its own View, Mesh and Clock.
type node struct {
	world   *world
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

func hostOf(i int) ident.Host { return ident.Host(fmt.Sprintf("h%d", i)) }

func newWorld(ctx context.Context, hosts int) *world {
	w := &world{ctx: ctx, inner: memstore.New(clock.NewRuntime()), cut: make(map[[2]int]bool), held: make(map[[2]int][]beat)}
	var holds Holds
	for i := range hosts {
		holds.Roster.Hosts = append(holds.Roster.Hosts, hostOf(i))
	}
	value, _ := json.Marshal(holds)
	_, _ = w.inner.CompareAndSwap(ctx, external.Swap{Key: HoldsKey, Value: value})
	_, _ = w.inner.CompareAndSwap(ctx, external.Swap{Key: StoreKey, Value: []byte(`{}`)})
	for i := range hosts {
		w.nodes = append(w.nodes, &node{world: w, index: i, clock: clock.NewRuntime(), store: faultstore.New(w.inner)})
	}
	for _, n := range w.nodes {
		n.prepare()
	}
	for _, n := range w.nodes {
		n.run()
	}
	return w
}

// prepare makes a fresh process, which remembers nothing.
func (n *node) prepare() {
	ctx, cancel := context.WithCancel(n.world.ctx)
	n.mu.Lock()
	n.incarnation++
	n.members = make(map[int]membership.Member)
	n.ctx, n.cancel, n.done = ctx, cancel, make(chan struct{})
	n.mu.Unlock()
	random := rand.New(rand.NewPCG(uint64(n.index), uint64(n.incarnation)))
	m := NewManager(Options{Host: hostOf(n.index), Store: n.store, Mesh: n, View: n, Clock: n, Random: random})
	acceptance := NewAcceptance(m)
	n.mu.Lock()
	n.manager = m
	n.applier = &Applier{Manager: m, Acceptance: acceptance, Poll: 50 * time.Millisecond, Timeout: 8 * time.Second}
	n.mu.Unlock()
}

// run runs the process until it is cancelled.
func (n *node) run() {
	ctx, m, done := n.ctx, n.manager, n.done
	go func() {
		defer close(done)
		var wg sync.WaitGroup
		wg.Go(func() { _ = m.Run(ctx) })
		wg.Go(func() { n.beat(ctx, m) })
		wg.Wait()
	}()
}

func (n *node) replace() {
	n.cancel()
	<-n.done
	n.prepare()
	n.run()
}

// Now is the daemon's clock, which holds up a paused daemon's goroutines.
func (n *node) Now() time.Duration {
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

func (n *node) pause(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pausedUntil = time.Now().Add(d)
}

func (n *node) paused() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.pausedUntil)
}

// beat tells the others what this daemon has loaded.
func (n *node) beat(ctx context.Context, m *Manager) {
	for ctx.Err() == nil {
		n.Now()
		config, holds := m.Loaded()
		for j := range n.world.nodes {
			if j != n.index {
				n.world.deliver(n.index, j, beat{incarnation: n.incarnation, revisions: Revisions{Config: config, Holds: holds}})
			}
		}
		sleep(ctx, beatEvery)
	}
}

// deliver brings a heartbeat over, or holds it back.
func (w *world) deliver(from, to int, b beat) {
	w.mu.Lock()
	defer w.mu.Unlock()
	link := [2]int{from, to}
	if w.cut[link] || w.nodes[to].paused() {
		if len(w.held[link]) < heldBeats {
			w.held[link] = append(w.held[link], b)
		}
		return
	}
	for _, late := range append(w.held[link], b) {
		w.nodes[to].hear(from, late)
	}
	delete(w.held, link)
}

// hear takes a heartbeat in, as new as it seems to the receiver.
func (n *node) hear(from int, b beat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members[from] = membership.Member{
		Host: hostOf(from), Incarnation: b.incarnation, Status: membership.Alive, HeardAt: time.Now(),
		Revision: b.revisions.Config, HoldsRevision: b.revisions.Holds,
	}
}

func (n *node) Members() []membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var members []membership.Member
	for i := range n.world.nodes {
		if member, ok := n.members[i]; ok {
			members = append(members, member)
		}
	}
	return members
}

func (n *node) Handle(_ peer.Kind, handler peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handler = handler
}

func (n *node) Send(to ident.Host, message peer.Message) error {
	for j, other := range n.world.nodes {
		if hostOf(j) != to {
			continue
		}
		n.world.mu.Lock()
		cut := n.world.cut[[2]int{n.index, j}]
		n.world.mu.Unlock()
		if cut || other.paused() {
			return fault.New(fault.Unavailable, "no link", "")
		}
		other.mu.Lock()
		handler := other.handler
		other.mu.Unlock()
		handler(hostOf(n.index), message)
		return nil
	}
	return fault.New(fault.Unavailable, "no such host", "")
}

// part cuts the hosts into two sides, or joins them where both is empty.
func (w *world) part(side func(i int) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.nodes {
		for j := range w.nodes {
			w.cut[[2]int{i, j}] = side(i) != side(j)
		}
	}
}

// faults sets the same faults of the store for all.
func (w *world) faults(faults faultstore.Faults) {
	for _, n := range w.nodes {
		n.store.Set(faults)
	}
}

// stop ends every daemon.
func (w *world) stop() {
	for _, n := range w.nodes {
		n.cancel()
	}
	for _, n := range w.nodes {
		<-n.done
	}
}

// forget makes a node hold another for dead.
func (n *node) forget(i int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	member := n.members[i]
	member.Status = membership.Dead
	n.members[i] = member
}

func (w *world) writeHolds(t *testing.T, holds Holds, base external.Version) external.Version {
	value, err := json.Marshal(holds)
	must.NoError(t, err)
	version, err := w.inner.CompareAndSwap(w.ctx, external.Swap{Key: HoldsKey, Base: base, Value: value})
	must.NoError(t, err)
	return version
}
