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
	// linkOverhead is a frame's envelope and the headers of WebSocket, which
	// the encoded frame does not hold.
	linkOverhead = 14
	// closedAfter is when others see that a killed process's links are closed,
	// silentAfter when pings have found a silent link.
	closedAfter = 500 * time.Millisecond
	silentAfter = 5 * time.Second
	// healedAfter is when dials succeed again.
	healedAfter = 2 * time.Second
	// targetsPerNode and eventShare shape the load that spreads: so many
	// targets are polled by a daemon, and so often their figures differ.
	targetsPerNode = 2
	eventShare     = 0.5
)

// fleet runs nodes in fake time over links in memory that lose frames.
type fleet struct {
	now      time.Time
	random   *rand.Rand
	strategy Strategy
	nodes    []*fleetNode
	ring     []ident.Host
	index    map[ident.Host]int
	wire     []flight
	loss     float64
	// side parts the fleet: nodes of different sides don't hear each other.
	side map[int]bool
	// cut is how many nodes the parting cut off.
	cut int
	// seen is what every node on a side takes for up.
	seen map[bool]map[ident.Host]bool
	// later holds what is found out at a later time.
	later []finding
	// quiet stops further consumption.
	quiet bool
	born  map[birth]time.Time
	delay *hdrhistogram.Histogram
}

type fleetNode struct {
	*Node
	life      Life
	down      bool
	startedAt time.Time
	sent, got int
	ledger    *Ledger
	// total is what the process has consumed of each workspace.
	total map[ident.Workspace]Use
}

type flight struct {
	from, to int
	frame    Frame
}

type finding struct {
	at time.Time
	do func()
}

type birth struct {
	origin  OriginID
	version Version
}

func newFleet(size int, strategy Strategy, seed uint64) *fleet {
	f := &fleet{
		now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 2)), strategy: strategy, side: make(map[int]bool),
		seen: map[bool]map[ident.Host]bool{false: {}, true: {}}, born: make(map[birth]time.Time),
		delay: hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3), index: make(map[ident.Host]int),
	}
	var hosts []ident.Host
	for i := range size {
		hosts = append(hosts, ident.Host(fmt.Sprintf("host-%03d", i)))
	}
	f.ring = NewPeers(hosts[0], hosts[1:], nil).Ring
	for i, host := range f.ring {
		f.index[host] = i
		f.seen[false][host], f.seen[true][host] = true, true
		f.nodes = append(f.nodes, new(fleetNode))
		f.start(i, 1)
	}
	for i := range f.nodes {
		f.refresh(i)
	}
	return f
}

func (f *fleet) timing() Timing { return TimingFor(len(f.ring)) }

// start gives a host a fresh process.
func (f *fleet) start(i int, incarnation ident.Incarnation) {
	n := f.nodes[i]
	*n = fleetNode{life: Life{f.ring[i], incarnation}, startedAt: f.now, sent: n.sent, got: n.got, ledger: NewLedger(Life{f.ring[i], incarnation}), total: make(map[ident.Workspace]Use)}
	n.Node = NewNode(n.life, f.strategy, f.timing(), f.random)
	// Daemons don't start in step.
	n.bundledAt = f.now.Add(-time.Duration(f.random.Int64N(int64(f.timing().BundleEvery))))
	n.compareAt = f.now
	f.refresh(i)
}

// refresh gives a node what its side takes for up.
func (f *fleet) refresh(i int) {
	up := make(map[ident.Host]bool, len(f.ring))
	for host, is := range f.seen[f.side[i]] {
		up[host] = is
	}
	peers := &Peers{Ring: f.ring, Up: up, self: i, beside: make(map[int][]ident.Host)}
	f.nodes[i].SetPeers(peers, f.timing())
}

// kill stops a process; after the pause a new one takes its place.
func (f *fleet) kill(i int, pause time.Duration) {
	f.nodes[i].down = true
	f.note(closedAfter, i, false)
	f.after(pause, func() {
		f.start(i, f.nodes[i].life.Incarnation+1)
		f.note(closedAfter, i, true)
	})
}

// part cuts the first count nodes off, or heals with count zero.
func (f *fleet) part(count int) {
	for i := range f.nodes {
		f.side[i] = i < count
		f.refresh(i)
	}
	found := silentAfter
	if count == 0 {
		found = healedAfter
	}
	f.after(found, func() {
		for i, host := range f.ring {
			f.seen[f.side[i]][host] = !f.nodes[i].down
			f.seen[!f.side[i]][host] = count == 0 && !f.nodes[i].down
		}
		for i, n := range f.nodes {
			f.refresh(i)
			for j, host := range f.ring {
				if count == 0 && (j < f.cut) != (f.index[n.life.Host] < f.cut) {
					n.Greet(host)
				}
			}
		}
	})
	f.cut = max(f.cut, count)
}

func (f *fleet) note(d time.Duration, i int, up bool) {
	f.after(d, func() {
		f.seen[f.side[i]][f.ring[i]] = up
		for j, n := range f.nodes {
			f.refresh(j)
			if up && f.side[j] == f.side[i] && j != i {
				n.Greet(f.ring[i])
			}
		}
	})
}

func (f *fleet) after(d time.Duration, do func()) {
	f.later = append(f.later, finding{f.now.Add(d), do})
}

// step runs one tick.
func (f *fleet) step() {
	f.now = f.now.Add(TickEvery)
	findings := f.later
	f.later = nil
	for _, x := range findings {
		if x.at.After(f.now) {
			f.later = append(f.later, x)
			continue
		}
		x.do()
	}
	arrived := f.wire
	f.wire = nil
	for i := range arrived {
		f.deliver(&arrived[i])
	}
	for i, n := range f.nodes {
		if n.down {
			continue
		}
		f.work(n)
		before := n.version
		for _, e := range n.Tick(f.now) {
			f.send(i, f.index[e.To], e.Frame)
		}
		if n.version > before {
			f.born[birth{n.self, n.version}] = f.now
		}
	}
}

// work publishes what a daemon has to say in its next bundle.
func (f *fleet) work(n *fleetNode) {
	if f.now.Sub(n.bundledAt) < f.timing().BundleEvery {
		return
	}
	for i := range targetsPerNode {
		if f.random.Float64() < eventShare {
			value, _ := peer.EncodeCompact([]int{f.random.IntN(16), f.random.IntN(24), f.random.IntN(200)})
			n.Publish(Key{SectionLoad, fmt.Sprintf("engine-%s-%d", n.life.Host, i)}, value, false)
		}
	}
	for range max(minSums, sumsPerFleet/len(f.ring)) {
		name := fmt.Sprintf("workspace-%d", f.random.IntN(min(310, len(f.ring))))
		if !f.quiet {
			use := Use{1, uint64(f.random.IntN(5000))}
			n.total[ident.Workspace(name)] = n.total[ident.Workspace(name)].plus(use)
			n.ledger.Add(ident.Workspace(name), use)
		}
	}
	for _, sum := range n.ledger.Pick(max(minSums, sumsPerFleet/len(f.ring))) {
		n.Publish(Key{SectionConsumption, string(sum.Workspace)}, sum.Use.encode(), false)
	}
}

func (f *fleet) send(from, to int, frame Frame) {
	data, err := peer.EncodeCompact(frame)
	if err != nil {
		panic(err)
	}
	f.nodes[from].sent += len(data) + linkOverhead
	if f.side[from] != f.side[to] || f.nodes[to].down || f.random.Float64() < f.loss {
		return
	}
	f.nodes[to].got += len(data) + linkOverhead
	f.wire = append(f.wire, flight{from, to, frame})
}

// deliver hands a frame over and notes how old the bundles are that became
// whole by it.
func (f *fleet) deliver(x *flight) {
	n := f.nodes[x.to]
	if n.down {
		return
	}
	before := make(map[OriginID]Version)
	for i := range x.frame.Bundles {
		before[x.frame.Bundles[i].Origin] = n.whole(x.frame.Bundles[i].Origin)
	}
	for i := range x.frame.Repairs {
		before[x.frame.Repairs[i].Origin] = n.whole(x.frame.Repairs[i].Origin)
	}
	if answer, due := n.Receive(f.now, f.ring[x.from], &x.frame); due {
		f.send(x.to, x.from, answer)
	}
	for origin, from := range before {
		for v := from + 1; v <= n.whole(origin); v++ {
			if born, ok := f.born[birth{origin, v}]; ok && !born.Before(n.startedAt) {
				_ = f.delay.RecordValue(int64(f.now.Sub(born) / time.Millisecond))
			}
		}
	}
}

func (n *fleetNode) whole(id OriginID) Version { return n.wholeOf(id) }

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}
