package backlog

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// maxFullMesh is the largest fleet in which all daemons exchange reports
	// directly.
	maxFullMesh = 17
	// maxMeanCellSize bounds the mean number of daemons in a cell of a larger fleet.
	maxMeanCellSize = 32
)

// Daemon identifies a daemon of the fleet and its failure domain.
type Daemon struct {
	Host          ident.Host
	FailureDomain ident.FailureDomain
}

// Topology lists the daemons that one daemon receives reports from and sends them
// to. A small fleet is a full mesh. A large one is divided into cells, each within
// a failure domain: the daemons of a cell form a full mesh, and each daemon
// receives the combined report of every other cell from one daemon of that cell.
// So a report about a daemon reaches every other daemon exactly once, over at most
// two links.
type Topology struct {
	// Neighbors are the daemons that exchange individual reports with this one.
	Neighbors []ident.Host
	// Sources maps each daemon that sends this one the report of its cell to the
	// size of that cell.
	Sources map[ident.Host]int
	// Sinks are the daemons that this one sends the report of its cell to.
	Sinks []ident.Host
}

// Hosts returns the neighbors, sources and sinks, sorted and without duplicates.
func (t *Topology) Hosts() []ident.Host {
	hosts := slices.Concat(t.Neighbors, t.Sinks)
	for host := range t.Sources {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, cmp.Compare)
	return slices.Compact(hosts)
}

// RelayTo returns the daemon of this one's cell that has a link to a daemon of another
// cell. It reports false if none but this one can have it.
func (t *Topology) RelayTo(self, to ident.Host) (ident.Host, bool) {
	if len(t.Sources) == 0 || len(t.Neighbors) == 0 || slices.Contains(t.Neighbors, to) {
		return "", false
	}
	relay := sourceFor(to, append(slices.Clone(t.Neighbors), self))
	return relay, relay != self
}

// NewTopology returns the topology of a daemon among the others. Daemons with the
// same view of the fleet compute matching sources and sinks.
func NewTopology(self Daemon, others []Daemon) Topology {
	topology := Topology{Sources: make(map[ident.Host]int)}
	if len(others) < maxFullMesh {
		for _, other := range others {
			topology.Neighbors = append(topology.Neighbors, other.Host)
		}
		return topology
	}
	cells, own := partition(self, others)
	for key, cell := range cells {
		if key == own {
			topology.Neighbors = slices.DeleteFunc(slices.Clone(cell), func(host ident.Host) bool { return host == self.Host })
			continue
		}
		topology.Sources[sourceFor(self.Host, cell)] = len(cell)
		for _, host := range cell {
			if sourceFor(host, cells[own]) == self.Host {
				topology.Sinks = append(topology.Sinks, host)
			}
		}
	}
	return topology
}

// cellKey identifies a cell, which is a part of a failure domain.
type cellKey struct {
	domain ident.FailureDomain
	part   uint64
}

// partition divides a fleet into cells and returns them with the key of the
// daemon's own cell.
func partition(self Daemon, others []Daemon) (cells map[cellKey][]ident.Host, own cellKey) {
	sizes := map[ident.FailureDomain]int{self.FailureDomain: 1}
	for _, other := range others {
		sizes[other.FailureDomain]++
	}
	key := func(d Daemon) cellKey {
		count := (sizes[d.FailureDomain] + maxMeanCellSize - 1) / maxMeanCellSize
		return cellKey{domain: d.FailureDomain, part: xxhash.Sum64String(string(d.Host)) % uint64(count)}
	}
	own = key(self)
	cells = map[cellKey][]ident.Host{own: {self.Host}}
	for _, other := range others {
		cells[key(other)] = append(cells[key(other)], other.Host)
	}
	return cells, own
}

// sourceFor returns the daemon of a cell that sends the cell's report to a daemon
// of another cell. It is chosen by rendezvous hashing.
func sourceFor(sink ident.Host, cell []ident.Host) ident.Host {
	return slices.MaxFunc(cell, func(a, b ident.Host) int {
		return cmp.Or(cmp.Compare(pairHash(sink, a), pairHash(sink, b)), cmp.Compare(a, b))
	})
}

// pairHash is the rendezvous weight of a source for a sink.
func pairHash(sink, source ident.Host) uint64 {
	return xxhash.Sum64String(string(sink) + "/" + string(source))
}
