package lease_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
)

const (
	// undeliveredFor is how long a call that was sent on a cut path may still arrive.
	undeliveredFor = 3 * time.Second
	// receiverCallTime is how long a caller waits for an answer, receiverCallPause the time
	// between its calls.
	receiverCallTime  = time.Second
	receiverCallPause = 400 * time.Millisecond
	// pathStep is how often a call that is held up tries its path again.
	pathStep = 50 * time.Millisecond
)

// receiver is a system that carries out calls and checks no fencing tokens.
type receiver struct {
	mu      sync.Mutex
	highest ident.FencingToken
	calls   int
	// late counts calls that came after one with a higher fencing token, turns those that came
	// within undeliveredFor after one of the same host with one of another host in between.
	late, turns int
	// last is the host of the last call, left when the calls of each other host ended.
	last ident.Host
	left map[ident.Host]time.Time
	// lastAt is when the last call came.
	lastAt time.Time
}

// take takes one call of a host.
func (r *receiver) take(host ident.Host, fencing ident.FencingToken) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	if fencing < r.highest {
		r.late++
	}
	r.highest = max(r.highest, fencing)
	if r.left == nil {
		r.left = make(map[ident.Host]time.Time)
	}
	if host != r.last {
		r.left[r.last] = r.lastAt
		if left, ok := r.left[host]; ok && time.Since(left) < undeliveredFor {
			r.turns++
		}
	}
	r.last, r.lastAt = host, time.Now()
}

// disorder returns how many calls were late or of hosts that take turns.
func (r *receiver) disorder() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.late + r.turns
}

// count returns how many calls came.
func (r *receiver) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// path is the path of one process to the store and to the receiver.
type path struct {
	node *node
	cut  atomic.Bool
}

// setCut cuts or heals the path.
func (p *path) setCut(cut bool) {
	p.cut.Store(cut)
	p.node.process.SetPartitioned(faultstore.SideStore, cut)
}

// send makes one call. On a cut path the call is held up, whatever becomes of its caller, and
// arrives if the path heals within undeliveredFor.
func (p *path) send(ctx context.Context, r *receiver, fencing ident.FencingToken) error {
	if !p.cut.Load() {
		r.take(p.node.host, fencing)
		return nil
	}
	go func() {
		for range undeliveredFor / pathStep {
			time.Sleep(pathStep)
			if !p.cut.Load() {
				r.take(p.node.host, fencing)
				return
			}
		}
	}()
	select {
	case <-ctx.Done():
	case <-time.After(receiverCallTime):
	}
	return fault.New(fault.Unknown, "no answer", "repeat the call")
}

// work calls the receiver until ctx ends.
func (p *path) work(r *receiver) lease.Work {
	return func(ctx context.Context, authority lease.Authority) error {
		for ctx.Err() == nil {
			_ = authority.Call(ctx, func(ctx context.Context) error { return p.send(ctx, r, authority.Fencing()) })
			time.Sleep(receiverCallPause)
		}
		return nil
	}
}

// callCluster is a cluster whose work calls a receiver.
type callCluster struct {
	*cluster
	receiver receiver
	paths    []*path
}

// newCallCluster returns a running cluster of four processes that compete for one duty.
func newCallCluster(store external.Store, handoverDelay time.Duration) *callCluster {
	c := newUnstartedCallCluster(store, handoverDelay)
	for _, p := range c.paths {
		c.run(p)
	}
	return c
}

// newUnstartedCallCluster returns the same before its start.
func newUnstartedCallCluster(store external.Store, handoverDelay time.Duration) *callCluster {
	timing := lease.DefaultTiming()
	timing.TTL, timing.RenewInterval, timing.PollInterval = 3*time.Second, time.Second, time.Second
	timing.RankWait, timing.CallTimeout, timing.HandoverDelay = 400*time.Millisecond, 900*time.Millisecond, handoverDelay
	c := &callCluster{cluster: newCluster(store, 4, 1, timing, exactRate)}
	for _, n := range c.nodes {
		p := &path{node: n}
		c.paths = append(c.paths, p)
	}
	return c
}

// run starts the competition of a process.
func (c *callCluster) run(p *path) {
	ctx, cancel := context.WithCancel(context.Background())
	p.node.cancel = cancel
	work := p.work(&c.receiver)
	p.node.work.Go(func() {
		_ = p.node.manager.Run(ctx, c.duties[0], func(ctx context.Context, authority lease.Authority) error {
			c.recordAcquisition(p.node, authority)
			return work(ctx, authority)
		})
	})
}

// holding returns the path of the process whose work began last.
func (c *callCluster) holding() *path {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.acquired[c.duties[0]]
	for _, p := range c.paths {
		if p.node.host == list[len(list)-1].host {
			return p
		}
	}
	return nil
}

// cutHolder cuts the holder's path for a while and returns how many calls were out of order.
func cutHolder(handoverDelay, cut time.Duration) (late, calls int) {
	c := newCallCluster(newStore(), handoverDelay)
	time.Sleep(10 * time.Second)
	p := c.holding()
	p.setCut(true)
	time.Sleep(cut)
	p.setCut(false)
	time.Sleep(15 * time.Second)
	c.stop()
	return c.receiver.disorder(), c.receiver.calls
}

// TestCallsOfFormerHolderArriveBeforeSuccessors guards against a call of a process that no longer
// holds a duty which arrives after one of its successor, because its bytes were held up on a path
// that was cut: at cuts of all lengths, and whatever the sender has done with its connection.
func TestCallsOfFormerHolderArriveBeforeSuccessors(t *testing.T) {
	withoutDelay := 0
	for cut := time.Second; cut < 9*time.Second; cut += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			late, _ := cutHolder(0, cut)
			withoutDelay += late
			late, calls := cutHolder(undeliveredFor+pathStep, cut)
			must.Zero(t, late, must.Sprint(cut))
			must.Positive(t, calls)
		})
	}
	must.Positive(t, withoutDelay, must.Sprint("without a delay calls are late"))
}

// TestCallsArriveInOrderUnderFaults guards against the same under cuts, restarts, kills and lost
// answers of the store in any order.
func TestCallsArriveInOrderUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(drawEvent(4), 1, 8).Draw(rt, "events")
		late, calls := 0, 0
		synctest.Test(t, func(*testing.T) {
			c := newCallCluster(newStore(), undeliveredFor+pathStep)
			for _, e := range events {
				time.Sleep(e.before)
				c.disturb(e)
			}
			c.endTrouble()
			late, calls = c.receiver.disorder(), c.receiver.calls
		})
		must.Zero(rt, late)
		must.Positive(rt, calls)
	})
}

// TestCallsArriveInOrderOverEras guards against the same while the store goes back to older copies,
// whose handover records may be settled though calls are under way.
func TestCallsArriveInOrderOverEras(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(drawEvent(4), 1, 8).Draw(rt, "events")
		drills := drawDrills(rt, len(events))
		late, calls := 0, 0
		synctest.Test(t, func(*testing.T) {
			memory := memstore.New(clock.NewRuntime())
			snapshot := memory.Snapshot()
			c := newCallCluster(memory, undeliveredFor+pathStep)
			for i, e := range events {
				time.Sleep(e.before)
				c.disturb(e)
				switch drills[i] {
				case 1:
					snapshot = memory.Snapshot()
				case 2:
					memory.Restore(snapshot)
				}
			}
			c.endTrouble()
			late, calls = c.receiver.disorder(), c.receiver.calls
		})
		must.Zero(rt, late)
		must.Positive(rt, calls)
	})
}

// endTrouble lets the cluster recover, and stops it.
func (c *callCluster) endTrouble() {
	time.Sleep(15 * time.Second)
	c.heal()
	for _, p := range c.paths {
		p.setCut(false)
	}
	time.Sleep(30 * time.Second)
	c.stop()
}

// disturb injects the fault of an event.
func (c *callCluster) disturb(e faultEvent) {
	p := c.paths[e.node]
	switch e.kind {
	case 0, 1:
		p.setCut(e.on)
	case 2:
		// The process ends in order and competes again.
		p.node.cancel()
		p.node.work.Wait()
		c.run(p)
	case 3:
		p.setCut(true)
		time.Sleep(e.length / 5)
		p.setCut(false)
	default:
		c.apply(e)
	}
}

// TestSettledHandoverIsNotDelayed guards against a pause of a duty's work after an orderly end
// of its holder whose calls were all answered, and against none if one was not.
func TestSettledHandoverIsNotDelayed(t *testing.T) {
	const delay = 20 * time.Second
	for name, cut := range map[string]bool{"answered": false, "unanswered": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCallCluster(newStore(), delay)
				time.Sleep(delay + 10*time.Second)
				p := c.holding()
				p.cut.Store(cut)
				time.Sleep(2 * receiverCallTime)
				p.node.cancel()
				p.node.work.Wait()
				time.Sleep(delay / 2)
				must.Eq(t, cut, c.holding() == p)
				time.Sleep(delay)
				must.NotEq(t, p.node.host, c.holding().node.host)
				c.stop()
			})
		})
	}
}

// TestUnreadableHandoverCountsAsUnsettled guards against work that begins at once, or never, after
// another writer or an older copy of the store has left a record that is odd or of another era.
func TestUnreadableHandoverCountsAsUnsettled(t *testing.T) {
	const delay = 20 * time.Second
	for name, c := range map[string]struct {
		record  string
		settled bool
	}{
		"settled": {`{"settled":true}`, true}, "other era": {`{"settled":true,"era":3}`, false}, "unsettled": {`{}`, false},
		"empty": {"", false}, "null": {"null", false}, "no text": {"\xff", false}, "list": {"[true]", false},
		"other types": {`{"settled":"true","writer":7}`, false}, "negative era": {`{"settled":true,"era":-1}`, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore()
				_, err := store.CompareAndSwap(t.Context(), external.Swap{Key: lease.HandoverKeyOf("engines/model-0"), Value: []byte(c.record)})
				must.NoError(t, err)
				cluster := newCallCluster(store, delay)
				time.Sleep(delay / 2)
				must.Eq(t, c.settled, cluster.receiver.count() > 0)
				time.Sleep(delay)
				must.Positive(t, cluster.receiver.count())
				cluster.stop()
			})
		})
	}
}

// TestFirstStartIsNotDelayed guards against a delay at the first start of the whole system, and
// against none at a later one whose record is missing.
func TestFirstStartIsNotDelayed(t *testing.T) {
	const delay = 20 * time.Second
	for _, first := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := newUnstartedCallCluster(newStore(), delay)
			for _, p := range c.paths {
				p.node.options.FirstStart = first
				p.node.manager = lease.NewManager(p.node.options)
				c.run(p)
			}
			time.Sleep(delay / 2)
			must.Eq(t, first, c.receiver.count() > 0)
			time.Sleep(delay)
			must.Positive(t, c.receiver.count())
			c.stop()
		})
	}
}

// TestHostsDoNotTakeTurns guards against a duty that goes to another host and back within the
// time of a lease by two orderly ends, after each of which the work of the next holder begins at once.
func TestHostsDoNotTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newUnstartedCallCluster(newStore(), undeliveredFor+pathStep)
		c.nodes, c.paths = c.nodes[:2], c.paths[:2]
		for _, p := range c.paths {
			c.run(p)
		}
		time.Sleep(10 * time.Second)
		for range 6 {
			p := c.holding()
			before := c.receiver.count()
			p.node.cancel()
			p.node.work.Wait()
			for c.holding() == p || c.receiver.count() == before {
				time.Sleep(pathStep)
			}
			c.run(p)
		}
		c.stop()
		must.Zero(t, c.receiver.disorder())
	})
}
