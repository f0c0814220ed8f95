package usage

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
	"amaranthplank.example/amaranthplank/pkg/standin/usagesink"
)

// testAbandonAfter is how long a checkpoint may stay unchanged before it is
// sealed.
const testAbandonAfter = 50 * time.Second

// deadAfter is the silence after which a member is considered dead.
const deadAfter = 3 * time.Second

// cluster simulates a small fleet in fake time, with one process on each node.
type cluster struct {
	ctx    context.Context
	store  *faultstore.Store
	sink   *usagesink.Sink
	random *rand.Rand
	writes atomic.Int64
	// wrapStore wraps each process's store, to disable a safety mechanism.
	wrapStore func(external.Store) external.Store

	mu            sync.Mutex
	nodes         []*node
	partitionedAt map[[2]int]time.Time
	answered      map[ident.Workspace]uint64
	// allowedLoss is the number of records that the kills and stops so far may
	// have lost.
	allowedLoss uint64
	violations  []string
	// lost is the number of answered requests that were not billed.
	lost uint64
	// requestInterval is the time between two requests of a node, and
	// tailInterval that between two messages to its replica.
	requestInterval, tailInterval time.Duration
	// noReplica disables replication of the tails.
	noReplica bool
	window    time.Duration
	// loseReportResponses loses the sink's responses after the reports took
	// effect.
	loseReportResponses bool
	authorities         [Shards]*shardAuthority
	fencing             ident.FencingToken
}

// node is a host with its current process.
type node struct {
	cluster *cluster
	index   int
	process *faultstore.Process
	source  *Source
	replica *TailReplica
	store   external.Store
	cancel  context.CancelFunc
	done    chan struct{}

	incarnation ident.Incarnation
	silentSince time.Time
	handlers    map[peer.Kind]peer.Handler
}

// shardAuthority is the lease.Authority of one holder of a shard's duty.
type shardAuthority struct {
	cluster *cluster
	shard   int
	fencing ident.FencingToken
	cancel  context.CancelFunc
}

func (a *shardAuthority) Duty() ident.Duty { return Duty(a.shard) }
func (a *shardAuthority) Call(ctx context.Context, send func(ctx context.Context) error) error {
	return lease.CallUnder(ctx, a, send)
}

func (a *shardAuthority) Fencing() ident.FencingToken { return a.fencing }

func (a *shardAuthority) Check() error {
	a.cluster.mu.Lock()
	defer a.cluster.mu.Unlock()
	if a.cluster.authorities[a.shard] != a {
		return lease.ErrLost
	}
	return nil
}

func newCluster(ctx context.Context, hosts int, change func(c *cluster)) *cluster {
	c := &cluster{
		ctx: ctx, store: faultstore.New(memstore.New(clock.NewRuntime())), sink: usagesink.New(),
		random: rand.New(rand.NewPCG(1, 2)), partitionedAt: make(map[[2]int]time.Time),
		answered: make(map[ident.Workspace]uint64), window: 5 * time.Second,
		requestInterval: 100 * time.Millisecond, tailInterval: time.Second,
	}
	if change != nil {
		change(c)
	}
	for i := range hosts {
		c.nodes = append(c.nodes, &node{cluster: c, index: i})
	}
	for _, n := range c.nodes {
		n.start()
	}
	for shard := range Shards {
		c.assignDuty(shard, shard%hosts)
	}
	return c
}

func (c *cluster) knobs() config.UsageKnobs {
	c.mu.Lock()
	defer c.mu.Unlock()
	return config.UsageKnobs{
		Window: config.Duration(c.window), Grace: config.Duration(2 * time.Second), CheckpointEvery: config.Duration(min(c.window/5, 5*time.Second)),
	}
}

// start starts a new process.
func (n *node) start() {
	ctx, cancel := context.WithCancel(n.cluster.ctx)
	log := slog.New(slog.DiscardHandler)
	process := faultstore.NewProcess()
	var store external.Store = faultstore.NewProcessStore(process, n.cluster.store)
	if n.cluster.wrapStore != nil {
		store = n.cluster.wrapStore(store)
	}
	n.cluster.mu.Lock()
	n.incarnation = max(n.incarnation+1, ident.Incarnation(time.Now().UnixNano()))
	n.process, n.store, n.cancel, n.done = process, store, cancel, make(chan struct{})
	n.handlers = make(map[peer.Kind]peer.Handler)
	n.silentSince = time.Time{}
	n.cluster.mu.Unlock()
	opts := SourceOptions{
		Host: hostName(n.index), FailureDomain: domainName(n.index), Incarnation: n.incarnation, Store: store,
		Mesh: n, View: n, Knobs: n.cluster.knobs, TailInterval: n.cluster.tailInterval,
	}
	if n.cluster.noReplica {
		opts.View = nil
	}
	source := NewSource(opts)
	replica := NewTailReplica(TailReplicaOptions{Host: hostName(n.index), Store: store, Mesh: n, View: n, Log: log, CheckInterval: 2 * time.Second, Retention: 10 * time.Minute})
	n.cluster.mu.Lock()
	n.source, n.replica = source, replica
	n.cluster.mu.Unlock()
	done := n.done
	go func() {
		defer close(done)
		var wg sync.WaitGroup
		wg.Go(func() { _ = source.Run(ctx) })
		wg.Go(func() { _ = replica.Run(ctx) })
		wg.Wait()
	}()
}

func hostName(i int) ident.Host            { return ident.Host(fmt.Sprintf("h%d", i)) }
func domainName(i int) ident.FailureDomain { return ident.FailureDomain(fmt.Sprintf("d%d", i)) }

// assignDuty assigns a shard's duty to a node. The former holder's authority
// ends immediately, but its context is canceled only three seconds later.
func (c *cluster) assignDuty(shard, to int) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	if former := c.authorities[shard]; former != nil {
		time.AfterFunc(3*time.Second, former.cancel)
	}
	c.fencing++
	a := &shardAuthority{cluster: c, shard: shard, fencing: c.fencing, cancel: cancel}
	c.authorities[shard] = a
	n := c.nodes[to]
	r := &Reporter{
		Host: hostName(to), Shard: shard, Store: n.store, Knobs: c.knobs, Log: slog.New(slog.DiscardHandler), CheckInterval: 2 * time.Second, AbandonAfter: testAbandonAfter,
		Sink: &processSink{cluster: c, process: n.process},
	}
	c.mu.Unlock()
	go func() { _ = r.Work(ctx, a) }()
}

// processSink is the platform's sink as one process calls it: the process can be
// paused or killed before and after each call.
type processSink struct {
	cluster *cluster
	process *faultstore.Process
}

func (s *processSink) Report(ctx context.Context, report external.UsageReport) error {
	if err := s.process.Enter(faultstore.SidePlatform); err != nil {
		return err
	}
	err := s.cluster.sink.Report(ctx, report)
	if fault.KindOf(err) == fault.Conflict && err != nil {
		s.cluster.mu.Lock()
		s.cluster.violations = append(s.cluster.violations, fmt.Sprintf("%s %s reported again with different counts", report.Shard, report.Window))
		s.cluster.mu.Unlock()
	}
	if lost := s.process.Leave(faultstore.SidePlatform); lost != nil {
		return lost
	}
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	if s.cluster.loseReportResponses {
		return external.ErrStoreUnknown
	}
	return err
}

// pause pauses a node's process for a time.
func (n *node) pause(d time.Duration) {
	n.cluster.mu.Lock()
	n.silentSince = time.Now()
	process := n.process
	n.cluster.mu.Unlock()
	process.Pause(d)
	time.AfterFunc(d, func() {
		n.cluster.mu.Lock()
		defer n.cluster.mu.Unlock()
		n.silentSince = time.Time{}
	})
}

// kill kills a node's process. The records after its last checkpoint known to be
// stored may be lost.
func (n *node) kill() {
	n.process.Kill()
	n.source.mu.Lock()
	lost := n.source.state.sequence - n.source.state.storedThrough
	n.source.mu.Unlock()
	n.cluster.mu.Lock()
	n.cluster.allowedLoss += lost
	n.cluster.mu.Unlock()
	n.cancel()
}

// Members returns the node's view of the others. A member that was silent for
// deadAfter is considered dead, whether it was killed, paused or partitioned.
func (n *node) Members() []membership.Member {
	c := n.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	var members []membership.Member
	for i, other := range c.nodes {
		if i == n.index {
			continue
		}
		status := membership.Alive
		silentSince, cutSince := other.silentSince, c.partitionedAt[[2]int{min(i, n.index), max(i, n.index)}]
		if !silentSince.IsZero() && time.Since(silentSince) > deadAfter || !cutSince.IsZero() && time.Since(cutSince) > deadAfter {
			status = membership.Dead
		}
		members = append(members, membership.Member{Host: hostName(i), FailureDomain: domainName(i), Incarnation: other.incarnation, Status: status})
	}
	return members
}

func (n *node) Handle(kind peer.Kind, handler peer.Handler) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.handlers[kind] = handler
}

func (n *node) Send(to ident.Host, message peer.Message) error {
	c := n.cluster
	c.mu.Lock()
	i := slices.IndexFunc(c.nodes, func(other *node) bool { return hostName(other.index) == to })
	other := c.nodes[i]
	reachable := c.partitionedAt[[2]int{min(i, n.index), max(i, n.index)}].IsZero() && !unresponsive(n.process) && !unresponsive(other.process)
	handler := other.handlers[message.Kind]
	c.mu.Unlock()
	if !reachable || handler == nil {
		return fault.New(fault.Unavailable, "no link", "")
	}
	handler(hostName(n.index), message)
	return nil
}

func unresponsive(process *faultstore.Process) bool { return process.Paused() || process.Killed() }

// partition cuts the links between nodes on different sides and restores those
// between nodes on the same side.
func (c *cluster) partition(side func(i int) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.nodes {
		for j := i + 1; j < len(c.nodes); j++ {
			link := [2]int{i, j}
			switch {
			case side(i) == side(j):
				delete(c.partitionedAt, link)
			case c.partitionedAt[link].IsZero():
				c.partitionedAt[link] = time.Now()
			}
		}
	}
}

// runLoad records requests on every responsive node for a time.
func (c *cluster) runLoad(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(c.requestInterval) {
		for _, n := range c.nodes {
			if unresponsive(n.process) {
				continue
			}
			workspace := ident.Workspace(fmt.Sprintf("w%d", c.random.IntN(6)))
			n.source.Record(Record{Workspace: workspace, Model: "m", At: time.Now(), Tokens: request.TokenUsage{PromptTokens: 7, OutputTokens: 3}})
			c.answered[workspace]++
		}
	}
}

func (c *cluster) setLoseReportResponses(lose bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseReportResponses = lose
}

// recoverAndCheck ends all faults, waits until all usage that can be reported has
// been reported, checks the billing and stops the cluster.
func (c *cluster) recoverAndCheck() {
	c.store.Set(faultstore.Faults{})
	c.setLoseReportResponses(false)
	c.partition(func(int) bool { return false })
	time.Sleep(30 * time.Second)
	for shard := range Shards {
		for i, n := range c.nodes {
			if !unresponsive(n.process) {
				c.assignDuty(shard, i)
				break
			}
		}
	}
	c.setWindow(20 * time.Second)
	time.Sleep(testAbandonAfter + 2*time.Minute + 10*time.Second)
	c.checkBilling()
	c.stop()
}

// stop stops every process and reporter.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.cancel()
	}
	for _, a := range c.authorities {
		a.cancel()
	}
	time.Sleep(time.Minute)
}

// checkBilling compares the billed requests with the answered ones.
func (c *cluster) checkBilling() {
	c.mu.Lock()
	defer c.mu.Unlock()
	billed := make(map[ident.Workspace]uint64)
	for _, report := range c.sink.Reports() {
		for _, line := range report.Lines {
			billed[line.Workspace] += line.Requests
			if line.PromptTokens != 7*line.Requests || line.OutputTokens != 3*line.Requests {
				c.violations = append(c.violations, "the token counts of a line don't match its requests")
			}
			if line.UsedIn.After(report.Window.Add(time.Hour)) {
				c.violations = append(c.violations, "a line's time of use is after its window")
			}
		}
	}
	var lost uint64
	for workspace, answered := range c.answered {
		if billed[workspace] > answered {
			c.violations = append(c.violations, fmt.Sprintf("%s: %d billed, %d answered", workspace, billed[workspace], answered))
			continue
		}
		lost += answered - billed[workspace]
	}
	c.lost = lost
	if lost > c.allowedLoss {
		c.violations = append(c.violations, fmt.Sprintf("%d requests were not billed, %d may be lost", lost, c.allowedLoss))
	}
}
