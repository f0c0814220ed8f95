package dissemination

import (
	"math/rand/v2"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// Node is the protocol state of the dissemination on one daemon. It does no
// I/O; time and randomness are passed in.
type Node struct {
	timing   Timing
	strategy Strategy
	random   *rand.Rand
	peers    *Peers
	origins  map[OriginID]*origin
	// forgotten holds when origins were dropped, so that one isn't added again
	// from a daemon that still holds it.
	forgotten map[OriginID]time.Time
	// self is the daemon's own origin, version that of its last bundle.
	self    OriginID
	version Version
	ids     map[Key]ItemID
	// staged holds the items that changed since the last bundle.
	staged      map[Key][]byte
	urgent      bool
	bundledAt   time.Time
	reconcileAt time.Time
	// pendingBundles are the bundles to forward.
	pendingBundles []pendingBundle
	// linkStates number the frames to and from each neighbor. retransmits
	// holds the bundles of frames that a neighbor reported as lost.
	linkStates  map[ident.Host]*linkState
	retransmits map[ident.Host][]Bundle
	// pendingRepairs are the repairs to forward to daemons that may be missing
	// the same items.
	pendingRepairs []pendingRepair
	// caughtUp is set once another daemon's whole state has arrived, or after
	// maxCatchUpAttempts.
	caughtUp        bool
	catchUpAttempts int
	forwardAt       time.Time
	// newlyUp are the hosts to reconcile with that came up since the last tick.
	newlyUp []ident.Host
	gaps    int
}

// pendingBundle is a bundle to forward and the host that it came from, or no
// host for the daemon's own.
type pendingBundle struct {
	bundle Bundle
	from   ident.Host
}

// pendingRepair is a repair to forward and the host that it came from.
type pendingRepair struct {
	repair Repair
	urgent bool
	from   ident.Host
}

// NewNode returns a node that holds no other origins.
func NewNode(instance Instance, strategy Strategy, timing Timing, random *rand.Rand) *Node {
	n := &Node{
		timing: timing, strategy: strategy, random: random, origins: make(map[OriginID]*origin), forgotten: make(map[OriginID]time.Time),
		linkStates: make(map[ident.Host]*linkState), retransmits: make(map[ident.Host][]Bundle),
		peers: NewPeers(instance.Host, nil, map[ident.Host]bool{instance.Host: true}),
	}
	n.startOrigin(instance)
	return n
}

// Renew starts a new origin for the daemon's new incarnation. Items that were
// already published stay with the old origin; its staged items go into one last
// bundle, which is made now.
func (n *Node) Renew(now time.Time, instance Instance) {
	n.bundle(now)
	n.startOrigin(instance)
}

// startOrigin starts an origin and publishes its instance item.
func (n *Node) startOrigin(instance Instance) {
	n.self, n.version = instance.ID(), 0
	n.ids = map[Key]ItemID{{Section: SectionInstance}: instanceItem}
	n.staged = make(map[Key][]byte)
	// Encoding an instance cannot fail.
	value, _ := peer.EncodeCompact(instance)
	n.Publish(Key{Section: SectionInstance}, value, true)
}

// SetPeers replaces the view of the fleet and the intervals.
func (n *Node) SetPeers(peers *Peers, timing Timing) {
	n.peers, n.timing = peers, timing
}

// HostUp queues a reconciliation with a host that came up, if the strategy
// selects this daemon for it.
func (n *Node) HostUp(host ident.Host) {
	if n.strategy.ReconcilesWith(n.peers, n.random, host) {
		n.newlyUp = append(n.newlyUp, host)
	}
}

// Publish sets an item of the daemon; an empty value withdraws it. An urgent
// change makes the next tick send an urgent bundle.
func (n *Node) Publish(key Key, value []byte, urgent bool) {
	n.staged[key] = value
	n.urgent = n.urgent || urgent
}

// Gaps returns how often a gap in an origin's bundles was found so far.
func (n *Node) Gaps() int { return n.gaps }

// ContiguousVersion returns the version up to which no bundle of an instance is
// missing.
func (n *Node) ContiguousVersion(instance Instance) Version {
	return n.contiguousVersion(instance.ID())
}

// Each calls f for every item of a section that an identified origin has
// published and not withdrawn.
func (n *Node) Each(section Section, f func(instance Instance, name string, value []byte, at, lastSeenAt time.Time)) {
	for _, o := range n.origins {
		if !o.identified {
			continue
		}
		for _, state := range o.sections[section] {
			if len(state.value) > 0 {
				f(o.instance, state.key.Name, state.value, state.receivedAt, o.lastSeenAt)
			}
		}
	}
}

// LastSeen returns when the newest version of each instance other than the daemon's
// own arrived.
func (n *Node) LastSeen() map[Instance]time.Time {
	lastSeen := make(map[Instance]time.Time, len(n.origins))
	for id, o := range n.origins {
		if o.identified && id != n.self {
			lastSeen[o.instance] = o.lastSeenAt
		}
	}
	return lastSeen
}
