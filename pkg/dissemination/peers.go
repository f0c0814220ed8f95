package dissemination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Peers is a strategy's view of the fleet. It is immutable except for its cache.
type Peers struct {
	// Ring holds every host, self included, ordered by the hash of its name,
	// so that all daemons order them alike.
	Ring []ident.Host
	// Up holds the hosts that can be sent to, self included.
	Up map[ident.Host]bool
	// self is the daemon's position on the ring.
	self int
	// treeNeighbors caches the daemon's neighbors in each tree.
	treeNeighbors map[int][]ident.Host
}

// NewPeers orders the hosts on the ring.
func NewPeers(self ident.Host, hosts []ident.Host, up map[ident.Host]bool) *Peers {
	ring := append([]ident.Host{self}, hosts...)
	slices.SortFunc(ring, func(a, b ident.Host) int {
		byHash := cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
		return cmp.Or(byHash, cmp.Compare(a, b))
	})
	ring = slices.Compact(ring)
	return &Peers{Ring: ring, Up: up, self: slices.Index(ring, self), treeNeighbors: make(map[int][]ident.Host)}
}

// Self returns the daemon's own host.
func (p *Peers) Self() ident.Host { return p.Ring[p.self] }

// others returns the other hosts that are up.
func (p *Peers) others() []ident.Host {
	var out []ident.Host
	for i, host := range p.Ring {
		if i != p.self && p.Up[host] {
			out = append(out, host)
		}
	}
	return out
}
