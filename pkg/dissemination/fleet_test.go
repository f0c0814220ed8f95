package dissemination

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

const (
	// linkOverhead is the size of a frame's envelope and WebSocket headers,
	// which the encoded frame does not include.
	linkOverhead = 14
	// linkCloseDelay is how long others take to detect that the links of a killed
	// process are closed, silenceDetectionDelay how long pings take to detect
	// a silent link.
	linkCloseDelay        = 500 * time.Millisecond
	silenceDetectionDelay = 5 * time.Second
	// redialDelay is how long dials take to succeed after a partition healed.
	redialDelay = 2 * time.Second
	// targetsPerNode is how many targets a daemon polls, loadChangeShare the
	// probability that the load of one has changed since the last bundle.
	targetsPerNode  = 2
	loadChangeShare = 0.5
)

// fleet simulates nodes in fake time over in-memory links that lose frames.
type fleet struct {
	now      time.Time
	random   *rand.Rand
	strategy Strategy
	nodes    []*fleetNode
	ring     []ident.Host
	index    map[ident.Host]int
	inFlight []inFlightFrame
	loss     float64
	// group partitions the fleet: nodes of different groups don't reach each
	// other.
	group map[int]bool
	// maxPartition is the most nodes that a partition has cut off.
	maxPartition int
	// detectedUp holds, by group, which hosts its nodes have detected as up.
	detectedUp map[bool]map[ident.Host]bool
	// scheduled holds the events that are still to come.
	scheduled []scheduledEvent
	// noConsumption stops further consumption.
	noConsumption bool
	createdAt     map[bundleID]time.Time
	delays        *hdrhistogram.Histogram
}

type fleetNode struct {
	*Node
	instance  Instance
	down      bool
	startedAt time.Time
	sent, got int
	ledger    *Ledger
	// total is what the process has consumed of each workspace.
	total map[ident.Workspace]Consumption
}

type inFlightFrame struct {
	from, to int
	frame    Frame
}

type scheduledEvent struct {
	at time.Time
	do func()
}

type bundleID struct {
	origin  OriginID
	version Version
}

func newFleet(size int, strategy Strategy, seed uint64) *fleet {
	f := &fleet{
		now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 2)), strategy: strategy, group: make(map[int]bool),
		detectedUp: map[bool]map[ident.Host]bool{false: {}, true: {}}, createdAt: make(map[bundleID]time.Time),
		delays: hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3), index: make(map[ident.Host]int),
	}
	var hosts []ident.Host
	for i := range size {
		hosts = append(hosts, ident.Host(fmt.Sprintf("host-%03d", i)))
	}
	f.ring = NewPeers(hosts[0], hosts[1:], nil).Ring
	for i, host := range f.ring {
		f.index[host] = i
		f.detectedUp[false][host], f.detectedUp[true][host] = true, true
		f.nodes = append(f.nodes, new(fleetNode))
		f.start(i, 1)
	}
	for i := range f.nodes {
		f.updatePeers(i)
	}
	return f
}

func (f *fleet) timing() Timing { return TimingFor(len(f.ring)) }

// start replaces the process on a host by a fresh one.
func (f *fleet) start(i int, incarnation ident.Incarnation) {
	n := f.nodes[i]
	*n = fleetNode{instance: Instance{f.ring[i], incarnation}, startedAt: f.now, sent: n.sent, got: n.got, ledger: NewLedger(Instance{f.ring[i], incarnation}), total: make(map[ident.Workspace]Consumption)}
	n.Node = NewNode(n.instance, f.strategy, f.timing(), f.random)
	// Daemons don't start in step.
	n.bundledAt = f.now.Add(-time.Duration(f.random.Int64N(int64(f.timing().BundleInterval))))
	n.reconcileAt = f.now
	f.updatePeers(i)
}

// updatePeers sets which hosts a node treats as up: those that its group has
// detected as up.
func (f *fleet) updatePeers(i int) {
	up := make(map[ident.Host]bool, len(f.ring))
	for host, isUp := range f.detectedUp[f.group[i]] {
		up[host] = isUp
	}
	peers := &Peers{Ring: f.ring, Up: up, self: i, treeNeighbors: make(map[int][]ident.Host)}
	f.nodes[i].SetPeers(peers, f.timing())
}

// kill stops a process and starts a new one after the pause.
func (f *fleet) kill(i int, pause time.Duration) {
	f.nodes[i].down = true
	f.reportLinkChange(linkCloseDelay, i, false)
	f.schedule(pause, func() {
		f.start(i, f.nodes[i].instance.Incarnation+1)
		f.reportLinkChange(linkCloseDelay, i, true)
	})
}

// partition cuts off the first count nodes; a count of zero heals the
// partition.
func (f *fleet) partition(count int) {
	for i := range f.nodes {
		f.group[i] = i < count
		f.updatePeers(i)
	}
	delay := silenceDetectionDelay
	if count == 0 {
		delay = redialDelay
	}
	f.schedule(delay, func() {
		for i, host := range f.ring {
			f.detectedUp[f.group[i]][host] = !f.nodes[i].down
			f.detectedUp[!f.group[i]][host] = count == 0 && !f.nodes[i].down
		}
		for i, n := range f.nodes {
			f.updatePeers(i)
			for j, host := range f.ring {
				if count == 0 && (j < f.maxPartition) != (f.index[n.instance.Host] < f.maxPartition) {
					n.HostUp(host)
				}
			}
		}
	})
	f.maxPartition = max(f.maxPartition, count)
}

func (f *fleet) reportLinkChange(d time.Duration, i int, up bool) {
	f.schedule(d, func() {
		f.detectedUp[f.group[i]][f.ring[i]] = up
		for j, n := range f.nodes {
			f.updatePeers(j)
			if up && f.group[j] == f.group[i] && j != i {
				n.HostUp(f.ring[i])
			}
		}
	})
}

func (f *fleet) schedule(d time.Duration, do func()) {
	f.scheduled = append(f.scheduled, scheduledEvent{f.now.Add(d), do})
}

// step runs one tick.
func (f *fleet) step() {
	f.now = f.now.Add(TickInterval)
	events := f.scheduled
	f.scheduled = nil
	for _, x := range events {
		if x.at.After(f.now) {
			f.scheduled = append(f.scheduled, x)
			continue
		}
		x.do()
	}
	arrived := f.inFlight
	f.inFlight = nil
	for i := range arrived {
		f.deliver(&arrived[i])
	}
	for i, n := range f.nodes {
		if n.down {
			continue
		}
		f.publishLoad(n)
		before := n.version
		for _, e := range n.Tick(f.now) {
			f.send(i, f.index[e.To], e.Frame)
		}
		if n.version > before {
			f.createdAt[bundleID{n.self, n.version}] = f.now
		}
	}
}

// publishLoad publishes the load and consumption of a daemon when its next
// bundle is due.
func (f *fleet) publishLoad(n *fleetNode) {
	if f.now.Sub(n.bundledAt) < f.timing().BundleInterval {
		return
	}
	for i := range targetsPerNode {
		if f.random.Float64() < loadChangeShare {
			value, _ := peer.EncodeCompact([]int{f.random.IntN(16), f.random.IntN(24), f.random.IntN(200)})
			n.Publish(Key{SectionLoad, fmt.Sprintf("engine-%s-%d", n.instance.Host, i)}, value, false)
		}
	}
	for range max(minSums, sumsPerFleet/len(f.ring)) {
		name := fmt.Sprintf("workspace-%d", f.random.IntN(min(310, len(f.ring))))
		if !f.noConsumption {
			consumed := Consumption{1, uint64(f.random.IntN(5000))}
			n.total[ident.Workspace(name)] = n.total[ident.Workspace(name)].plus(consumed)
			n.ledger.Add(ident.Workspace(name), consumed)
		}
	}
	for _, sum := range n.ledger.PickChanged(max(minSums, sumsPerFleet/len(f.ring))) {
		n.Publish(Key{SectionConsumption, string(sum.Workspace)}, sum.Consumption.encode(), false)
	}
}

func (f *fleet) send(from, to int, frame Frame) {
	data, err := peer.EncodeCompact(frame)
	if err != nil {
		panic(err)
	}
	f.nodes[from].sent += len(data) + linkOverhead
	if f.group[from] != f.group[to] || f.nodes[to].down || f.random.Float64() < f.loss {
		return
	}
	f.nodes[to].got += len(data) + linkOverhead
	f.inFlight = append(f.inFlight, inFlightFrame{from, to, frame})
}

// deliver delivers a frame and records the age of the bundles that it made
// contiguous.
func (f *fleet) deliver(x *inFlightFrame) {
	n := f.nodes[x.to]
	if n.down {
		return
	}
	before := make(map[OriginID]Version)
	for i := range x.frame.Bundles {
		before[x.frame.Bundles[i].Origin] = n.contiguousUpTo(x.frame.Bundles[i].Origin)
	}
	for i := range x.frame.Repairs {
		before[x.frame.Repairs[i].Origin] = n.contiguousUpTo(x.frame.Repairs[i].Origin)
	}
	if answer, due := n.Receive(f.now, f.ring[x.from], &x.frame); due {
		f.send(x.to, x.from, answer)
	}
	for origin, from := range before {
		for v := from + 1; v <= n.contiguousUpTo(origin); v++ {
			if created, ok := f.createdAt[bundleID{origin, v}]; ok && !created.Before(n.startedAt) {
				_ = f.delays.RecordValue(int64(f.now.Sub(created) / time.Millisecond))
			}
		}
	}
}

func (n *fleetNode) contiguousUpTo(id OriginID) Version { return n.contiguousVersion(id) }

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}
