package dissemination

import (
	"math/rand/v2"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// Node is the state of the dissemination on one daemon. It does no input or
// output, and time and chance are passed in.
type Node struct {
	timing   Timing
	strategy Strategy
	random   *rand.Rand
	peers    *Peers
	origins  map[OriginID]*origin
	// forgotten holds when origins were dropped, so that a daemon that still
	// holds one doesn't bring it back.
	forgotten map[OriginID]time.Time
	// self is the daemon's own origin, version its last bundle.
	self    OriginID
	version Version
	ids     map[Key]ItemID
	// staged holds what changed since the last bundle.
	staged    map[Key][]byte
	urgent    bool
	bundledAt time.Time
	compareAt time.Time
	// pending are the bundles that are forwarded at the next tick.
	pending []forward
	// lanes number the frames to and from each neighbour, and again holds
	// bundles that a neighbour has missed.
	lanes map[ident.Host]*lane
	again map[ident.Host][]Bundle
	// passing are repairs that are sent on to those who may miss the same.
	passing []passed
	// caughtUp is set once another daemon's whole state has come.
	caughtUp  bool
	tries     int
	forwardAt time.Time
	// greets are the hosts that came up since the last tick.
	greets []ident.Host
	gaps   int
}

// forward is a bundle with the host that it came from.
type forward struct {
	bundle Bundle
	from   ident.Host
}

// passed is a repair with the host that it came from.
type passed struct {
	repair Repair
	urgent bool
	from   ident.Host
}

// NewNode returns a node that holds nothing.
func NewNode(life Life, strategy Strategy, timing Timing, random *rand.Rand) *Node {
	n := &Node{
		timing: timing, strategy: strategy, random: random, origins: make(map[OriginID]*origin), forgotten: make(map[OriginID]time.Time),
		lanes: make(map[ident.Host]*lane), again: make(map[ident.Host][]Bundle),
		peers: NewPeers(life.Host, nil, map[ident.Host]bool{life.Host: true}),
	}
	n.begin(life)
	return n
}

// Renew starts a new origin for the daemon's new incarnation. What the old one
// has published stays as that origin's, the last of it in a bundle made now.
func (n *Node) Renew(now time.Time, life Life) {
	n.bundle(now)
	n.begin(life)
}

// begin starts an origin.
func (n *Node) begin(life Life) {
	n.self, n.version = life.ID(), 0
	n.ids = map[Key]ItemID{{Section: SectionLife}: lifeItem}
	n.staged = make(map[Key][]byte)
	// A life always encodes.
	value, _ := peer.EncodeCompact(life)
	n.Publish(Key{Section: SectionLife}, value, true)
}

// SetPeers replaces what is known of the fleet.
func (n *Node) SetPeers(peers *Peers, timing Timing) {
	n.peers, n.timing = peers, timing
}

// Greet notes that a host came up, so that the two compare what they hold.
func (n *Node) Greet(host ident.Host) {
	if n.strategy.Greets(n.peers, n.random, host) {
		n.greets = append(n.greets, host)
	}
}

// Publish sets an item of the daemon's own; an empty value withdraws it. An
// urgent change goes out at the next tick and by every way.
func (n *Node) Publish(key Key, value []byte, urgent bool) {
	n.staged[key] = value
	n.urgent = n.urgent || urgent
}

// Gaps returns how many bundles were found missing so far.
func (n *Node) Gaps() int { return n.gaps }

// Whole returns the version up to which nothing of a life is missing.
func (n *Node) Whole(life Life) Version {
	return n.wholeOf(life.ID())
}

// Each calls f for every item of a section that some life has published.
func (n *Node) Each(section Section, f func(life Life, name string, value []byte, at, heardAt time.Time)) {
	for _, o := range n.origins {
		if !o.known {
			continue
		}
		for _, h := range o.sections[section] {
			if len(h.value) > 0 {
				f(o.life, h.key.Name, h.value, h.at, o.heardAt)
			}
		}
	}
}

// Heard returns when each life other than the daemon's own gave its last sign.
func (n *Node) Heard() map[Life]time.Time {
	heard := make(map[Life]time.Time, len(n.origins))
	for id, o := range n.origins {
		if o.known && id != n.self {
			heard[o.life] = o.heardAt
		}
	}
	return heard
}
