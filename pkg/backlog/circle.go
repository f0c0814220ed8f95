package backlog

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// wholeFleet is how many daemons at most all tell each other.
	wholeFleet = 17
	// cellSize is how many daemons a cell of a larger fleet has at most, on the
	// average.
	cellSize = 32
)

// Daemon is one daemon of the fleet, as far as telling goes.
type Daemon struct {
	Host          ident.Host
	FailureDomain ident.FailureDomain
}

// Circle says who tells one daemon of their prompts, and whom it tells. In a small
// fleet all daemons are near each other. In a large one those of a cell are, which
// lies within a failure domain, and one daemon of each other cell tells what its
// cell has. So each hears of every other daemon once, over at most two links.
type Circle struct {
	// Near are the daemons that exchange their own reports with this one.
	Near []ident.Host
	// Sources are the daemons that tell this one of their cells, and how many
	// daemons those are.
	Sources map[ident.Host]int
	// Sinks are the daemons that this one tells of its cell.
	Sinks []ident.Host
}

// Hosts returns all daemons of the circle, each once and in order.
func (c *Circle) Hosts() []ident.Host {
	hosts := slices.Concat(c.Near, c.Sinks)
	for host := range c.Sources {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, cmp.Compare)
	return slices.Compact(hosts)
}

// CircleOf returns the circle of a daemon among the others. All daemons that know
// of the same ones agree on who tells whom.
func CircleOf(self Daemon, others []Daemon) Circle {
	circle := Circle{Sources: make(map[ident.Host]int)}
	if len(others) < wholeFleet {
		for _, other := range others {
			circle.Near = append(circle.Near, other.Host)
		}
		return circle
	}
	cells, own := cellsOf(self, others)
	for key, cell := range cells {
		if key == own {
			circle.Near = slices.DeleteFunc(slices.Clone(cell), func(host ident.Host) bool { return host == self.Host })
			continue
		}
		circle.Sources[sourceOf(self.Host, cell)] = len(cell)
		for _, host := range cell {
			if sourceOf(host, cells[own]) == self.Host {
				circle.Sinks = append(circle.Sinks, host)
			}
		}
	}
	return circle
}

// cellKey names a cell: a part of a failure domain.
type cellKey struct {
	domain ident.FailureDomain
	part   uint64
}

// cellsOf divides a fleet into cells and returns the daemon's own one's key.
func cellsOf(self Daemon, others []Daemon) (cells map[cellKey][]ident.Host, own cellKey) {
	sizes := map[ident.FailureDomain]int{self.FailureDomain: 1}
	for _, other := range others {
		sizes[other.FailureDomain]++
	}
	key := func(d Daemon) cellKey {
		parts := (sizes[d.FailureDomain] + cellSize - 1) / cellSize
		return cellKey{domain: d.FailureDomain, part: xxhash.Sum64String(string(d.Host)) % uint64(parts)}
	}
	own = key(self)
	cells = map[cellKey][]ident.Host{own: {self.Host}}
	for _, other := range others {
		cells[key(other)] = append(cells[key(other)], other.Host)
	}
	return cells, own
}

// sourceOf returns the daemon of a cell that tells a daemon of another, by
// rendezvous hashing.
func sourceOf(sink ident.Host, cell []ident.Host) ident.Host {
	return slices.MaxFunc(cell, func(a, b ident.Host) int {
		return cmp.Or(cmp.Compare(pairHash(sink, a), pairHash(sink, b)), cmp.Compare(a, b))
	})
}

// pairHash ranks a source for a sink.
func pairHash(sink, source ident.Host) uint64 {
	return xxhash.Sum64String(string(sink) + "/" + string(source))
}
