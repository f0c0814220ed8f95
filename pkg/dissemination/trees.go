package dissemination

import (
	"math/rand/v2"
	"slices"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Trees sends each bundle along the edges of one of several parallel trees over
// all hosts; urgent bundles use all trees. A tree's order starts at its own part
// of the ring, so that a host has children in one tree at most and is a leaf
// in the others. The children of a host that is down move to its nearest
// ancestor that is up. A host's repair peer is the one opposite on the ring,
// which has other parents.
type Trees struct {
	// Count is both the number of trees and the number of children of each
	// position in a tree.
	Count int
}

var _ Strategy = Trees{}

// Forward returns the daemon's neighbors in the bundle's tree, or in any tree
// for an urgent bundle.
func (t Trees) Forward(peers *Peers, _ *rand.Rand, b *Bundle, from ident.Host) []ident.Host {
	if !b.Urgent {
		return without(t.neighbors(peers, int(b.Origin%OriginID(t.Count))), from)
	}
	return without(t.Links(peers), from)
}

// Links returns the daemon's neighbors in any tree.
func (t Trees) Links(peers *Peers) []ident.Host {
	if links, known := peers.treeNeighbors[allTrees]; known {
		return links
	}
	seen := make(map[ident.Host]bool)
	var out []ident.Host
	for tree := range t.Count {
		for _, host := range t.neighbors(peers, tree) {
			if !seen[host] {
				seen[host] = true
				out = append(out, host)
			}
		}
	}
	peers.treeNeighbors[allTrees] = out
	return out
}

// RepairPeer returns the opposite host or, half of the time, a neighbor in any
// tree, since the opposite host may be missing the same items.
func (t Trees) RepairPeer(peers *Peers, random *rand.Rand) ident.Host {
	if links := t.Links(peers); len(links) > 0 && random.IntN(2) == 0 {
		return links[random.IntN(len(links))]
	}
	return t.oppositeHost(peers)
}

// ReconcilesWith reports whether the host is opposite on the ring or a
// neighbor in any tree.
func (t Trees) ReconcilesWith(peers *Peers, _ *rand.Rand, host ident.Host) bool {
	return host == t.oppositeHost(peers) || slices.Contains(t.Links(peers), host)
}

// oppositeHost returns the host half a ring away, or the next one that is up.
func (t Trees) oppositeHost(peers *Peers) ident.Host {
	n := len(peers.Ring)
	for i := range n {
		host := peers.Ring[(peers.self+n/2+i)%n]
		if host != peers.Self() && peers.Up[host] {
			return host
		}
	}
	return ""
}

// allTrees is the cache key of the neighbors in all trees.
const allTrees = -1

// treeLayout is one tree over the hosts that are up. Positions count in tree
// order, and the children of position i are the count positions from count*i+1
// on.
type treeLayout struct {
	peers  *Peers
	count  int
	offset int
}

// neighbors returns the daemon's parent and children in a tree.
func (t Trees) neighbors(peers *Peers, tree int) []ident.Host {
	hosts, known := peers.treeNeighbors[tree]
	if !known {
		hosts = t.computeNeighbors(peers, tree)
		peers.treeNeighbors[tree] = hosts
	}
	return hosts
}

// computeNeighbors computes the daemon's parent and children in a tree.
func (t Trees) computeNeighbors(peers *Peers, tree int) []ident.Host {
	n := len(peers.Ring)
	layout := treeLayout{peers: peers, count: t.Count, offset: tree * n / t.Count}
	self := (peers.self - layout.offset + n) % n
	out := layout.children(self, nil)
	position := self
	for position > 0 {
		position = (position - 1) / layout.count
		if layout.up(position) {
			return append(out, layout.host(position))
		}
	}
	return layout.connectRoots(self, out)
}

// connectRoots makes the first of the hosts without a live ancestor the parent
// of the others.
func (l *treeLayout) connectRoots(self int, out []ident.Host) []ident.Host {
	if self == 0 {
		return out
	}
	roots := l.children(0, nil)
	if len(roots) == 0 || roots[0] != l.peers.Self() {
		return append(out, roots[:min(1, len(roots))]...)
	}
	return append(out, roots[1:]...)
}

// children returns the hosts below a position that are up, with the children of
// those that are down in their place.
func (l *treeLayout) children(position int, out []ident.Host) []ident.Host {
	first := position*l.count + 1
	for child := first; child < first+l.count && child < len(l.peers.Ring); child++ {
		if l.up(child) {
			out = append(out, l.host(child))
			continue
		}
		out = l.children(child, out)
	}
	return out
}

// host returns the host at a position.
func (l *treeLayout) host(position int) ident.Host {
	return l.peers.Ring[(position+l.offset)%len(l.peers.Ring)]
}

// up reports whether the host at a position is up.
func (l *treeLayout) up(position int) bool { return l.peers.Up[l.host(position)] }
