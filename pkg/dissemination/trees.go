package dissemination

import (
	"math/rand/v2"
	"slices"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Trees sends each bundle over the edges of one of several parallel trees over
// all hosts; urgent ones take all trees. A tree's order starts at its own part
// of the ring, so that a host has children in one tree at most and is a leaf
// in the others. Where a host is down, its children hang below the next one up.
// A host's helper is its buddy, which stands half a ring away and so below
// other hosts.
type Trees struct {
	// Count is the number of trees and of a host's children.
	Count int
}

var _ Strategy = Trees{}

// Forward returns the hosts beside the daemon in the bundle's tree.
func (t Trees) Forward(peers *Peers, _ *rand.Rand, b *Bundle, from ident.Host) []ident.Host {
	if !b.Urgent {
		return without(t.beside(peers, int(b.Origin%OriginID(t.Count))), from)
	}
	return without(t.Links(peers), from)
}

// Links returns the hosts that the daemon sends to in any tree.
func (t Trees) Links(peers *Peers) []ident.Host {
	if links, known := peers.beside[allTrees]; known {
		return links
	}
	seen := make(map[ident.Host]bool)
	var out []ident.Host
	for tree := range t.Count {
		for _, host := range t.beside(peers, tree) {
			if !seen[host] {
				seen[host] = true
				out = append(out, host)
			}
		}
	}
	peers.beside[allTrees] = out
	return out
}

// Helper returns the buddy or, every other time, a host of any tree, since the
// buddy may miss the same.
func (t Trees) Helper(peers *Peers, random *rand.Rand) ident.Host {
	if links := t.Links(peers); len(links) > 0 && random.IntN(2) == 0 {
		return links[random.IntN(len(links))]
	}
	return t.buddy(peers)
}

// Greets reports whether the host is beside the daemon in any tree.
func (t Trees) Greets(peers *Peers, _ *rand.Rand, host ident.Host) bool {
	return host == t.buddy(peers) || slices.Contains(t.Links(peers), host)
}

// buddy returns the host half a ring away, or the next one that is up.
func (t Trees) buddy(peers *Peers) ident.Host {
	n := len(peers.Ring)
	for i := range n {
		host := peers.Ring[(peers.self+n/2+i)%n]
		if host != peers.Self() && peers.Up[host] {
			return host
		}
	}
	return ""
}

// allTrees is the cache's place for the neighbours in all trees.
const allTrees = -1

// walk is one tree over the hosts that are up. Places count in tree order,
// and the children of place i are the Count places from Count*i+1 on.
type walk struct {
	peers  *Peers
	count  int
	offset int
}

// beside returns the daemon's parent and children in a tree.
func (t Trees) beside(peers *Peers, tree int) []ident.Host {
	hosts, known := peers.beside[tree]
	if !known {
		hosts = t.find(peers, tree)
		peers.beside[tree] = hosts
	}
	return hosts
}

// find works the daemon's parent and children in a tree out.
func (t Trees) find(peers *Peers, tree int) []ident.Host {
	n := len(peers.Ring)
	w := walk{peers: peers, count: t.Count, offset: tree * n / t.Count}
	self := (peers.self - w.offset + n) % n
	out := w.children(self, nil)
	place := self
	for place > 0 {
		place = (place - 1) / w.count
		if w.up(place) {
			return append(out, w.host(place))
		}
	}
	return w.joinTops(self, out)
}

// joinTops joins the hosts without a living parent below the first of them.
func (w *walk) joinTops(self int, out []ident.Host) []ident.Host {
	if self == 0 {
		return out
	}
	tops := w.children(0, nil)
	if len(tops) == 0 || tops[0] != w.peers.Self() {
		return append(out, tops[:min(1, len(tops))]...)
	}
	return append(out, tops[1:]...)
}

// children returns the hosts below a place that are up, passing over those
// that are not.
func (w *walk) children(place int, out []ident.Host) []ident.Host {
	first := place*w.count + 1
	for child := first; child < first+w.count && child < len(w.peers.Ring); child++ {
		if w.up(child) {
			out = append(out, w.host(child))
			continue
		}
		out = w.children(child, out)
	}
	return out
}

// host returns the host at a place.
func (w *walk) host(place int) ident.Host {
	return w.peers.Ring[(place+w.offset)%len(w.peers.Ring)]
}

// up reports whether the host at a place is up.
func (w *walk) up(place int) bool { return w.peers.Up[w.host(place)] }
