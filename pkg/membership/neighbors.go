package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Neighbors returns the hosts that self keeps links to, in order. Up to
// degree+1 hosts are a full mesh. More hosts are placed on a ring by the hash of
// their names. Each links to the hosts at degree/2 distances ahead, which grow
// geometrically, and at the same distances behind, so that both ends of a link
// choose it.
func Neighbors(self ident.Host, hosts []ident.Host, degree int) []ident.Host {
	ring := ringOf(self, hosts)
	at := slices.Index(ring, self)
	n := len(ring)
	chosen := make(map[ident.Host]bool)
	if n-1 <= degree {
		for _, host := range ring {
			chosen[host] = true
		}
	}
	steps := max(degree/2, 1)
	for i := 0; i < steps && n-1 > degree; i++ {
		distance := max(i+1, int(math.Round(math.Pow(float64(n), float64(i)/float64(steps)))))
		chosen[ring[(at+distance)%n]] = true
		chosen[ring[(at-distance%n+n)%n]] = true
	}
	delete(chosen, self)
	out := make([]ident.Host, 0, len(chosen))
	for host := range chosen {
		out = append(out, host)
	}
	slices.SortFunc(out, cmp.Compare)
	return out
}

// ringOf orders self and the hosts by the hash of their names.
func ringOf(self ident.Host, hosts []ident.Host) []ident.Host {
	ring := append([]ident.Host{self}, hosts...)
	slices.SortFunc(ring, func(a, b ident.Host) int {
		byHash := cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
		return cmp.Or(byHash, cmp.Compare(a, b))
	})
	return slices.Compact(ring)
}

// Rank returns how many of the hosts precede self for a name, by rendezvous
// hashing. A task that only a few hosts should do is done by those of the first
// ranks; rank 0 is the first.
func Rank(name string, self ident.Host, hosts []ident.Host) int {
	mine := weight(name, self)
	rank := 0
	for _, host := range hosts {
		if host != self && weight(name, host) > mine {
			rank++
		}
	}
	return rank
}

// weight is a host's rendezvous weight for a name.
func weight(name string, host ident.Host) uint64 {
	return xxhash.Sum64String(name + "\x00" + string(host))
}
