package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// cluster simulates tables in fake time over links that lose, duplicate and
// delay messages.
type cluster struct {
	now         time.Time
	random      *rand.Rand
	nodes       []*testNode
	inFlight    []delivery
	loss        float64
	duplication float64
	// blocked holds the directions in which nothing is delivered.
	blocked map[[2]ident.Host]bool
}

type testNode struct {
	table  *Table
	host   ident.Host
	paused bool
	// ended holds the incarnations that the node's table held as ended, newest
	// the newest state of each member.
	ended  map[Ask]bool
	newest map[ident.Host]Member
}

type delivery struct {
	at       time.Time
	from, to ident.Host
	gossip   Gossip
}

const testTick = time.Second

func newCluster(n int, seed uint64) *cluster {
	c := &cluster{now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 1)), blocked: make(map[[2]ident.Host]bool)}
	for i := range n {
		node := &testNode{host: ident.Host(fmt.Sprintf("h%02d", i))}
		c.nodes = append(c.nodes, node)
		c.restart(i, 1)
	}
	return c
}

func (c *cluster) restart(i int, incarnation ident.Incarnation) {
	node := c.nodes[i]
	timing := DefaultTiming()
	node.table = NewTable(Record{Host: node.host, Incarnation: incarnation, Address: string(node.host)}, timing, c.random)
	node.ended, node.newest, node.paused = make(map[Ask]bool), make(map[ident.Host]Member), false
}

func (c *cluster) neighbors(self ident.Host) []ident.Host {
	var hosts []ident.Host
	for _, n := range c.nodes {
		if n.host != self {
			hosts = append(hosts, n.host)
		}
	}
	return Neighbors(self, hosts, len(c.nodes))
}

func (c *cluster) send(from, to ident.Host, gossip Gossip) {
	if c.blocked[[2]ident.Host{from, to}] || c.random.Float64() < c.loss {
		return
	}
	for copies := 1; copies > 0; copies-- {
		if c.random.Float64() < c.duplication {
			copies++
		}
		delay := time.Duration(c.random.IntN(1400)) * time.Millisecond
		c.inFlight = append(c.inFlight, delivery{c.now.Add(delay), from, to, gossip})
	}
}

// step ticks every node and delivers the messages that are due.
func (c *cluster) step() error {
	c.now = c.now.Add(testTick)
	for _, n := range c.nodes {
		if n.paused {
			continue
		}
		for _, e := range n.table.Tick(c.now, Heartbeat{Revision: 7, HoldsRevision: 3}, c.neighbors(n.host)) {
			c.send(n.host, e.To, e.Gossip)
		}
	}
	var later []delivery
	arrived := c.inFlight
	c.inFlight = nil
	for _, d := range arrived {
		n := c.node(d.to)
		if d.at.After(c.now) || n.paused {
			later = append(later, d)
			continue
		}
		if answer, due := n.table.Receive(c.now, &d.gossip); due {
			c.send(d.to, d.from, answer)
		}
	}
	c.inFlight = append(c.inFlight, later...)
	for _, n := range c.nodes {
		if err := n.check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) node(host ident.Host) *testNode {
	for _, n := range c.nodes {
		if n.host == host {
			return n
		}
	}
	return nil
}

func (c *cluster) run(d time.Duration) error {
	for end := c.now.Add(d); c.now.Before(end); {
		if err := c.step(); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error if an incarnation or a revision decreased, or an ended
// incarnation became alive again.
func (n *testNode) check() error {
	for _, m := range n.table.Members() {
		old := n.newest[m.Host]
		if m.Incarnation < old.Incarnation {
			return errors.Errorf("%s: %s went back to incarnation %d", n.host, m.Host, m.Incarnation)
		}
		if m.Incarnation == old.Incarnation && (m.Revision < old.Revision || m.HoldsRevision < old.HoldsRevision) {
			return errors.Errorf("%s: %s went back to revision %d", n.host, m.Host, m.Revision)
		}
		n.newest[m.Host] = m
		incarnation := Ask{m.Host, m.Incarnation}
		over := m.Status == Dead || m.Status == Left
		if n.ended[incarnation] && !over {
			return errors.Errorf("%s: %s became alive again in incarnation %d", n.host, m.Host, m.Incarnation)
		}
		n.ended[incarnation] = over
	}
	return nil
}

// checkConverged returns an error unless every node holds every other one as alive.
func (c *cluster) checkConverged() error {
	for _, n := range c.nodes {
		members := n.table.Members()
		if len(members) != len(c.nodes)-1 {
			return errors.Errorf("%s has %d members", n.host, len(members))
		}
		for _, m := range members {
			if m.Status != Alive || m.Revision != 7 || m.Incarnation != c.node(m.Host).table.Self().Incarnation {
				return errors.Errorf("%s holds %s as %s in incarnation %d", n.host, m.Host, m.Status, m.Incarnation)
			}
		}
	}
	return nil
}
