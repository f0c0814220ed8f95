package backlog

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/ident"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

// newFleet returns daemons spread evenly over failure domains.
func newFleet(size, domains int) []Daemon {
	fleet := make([]Daemon, size)
	for i := range fleet {
		fleet[i] = Daemon{Host: ident.Host(fmt.Sprintf("h%03d", i)), FailureDomain: ident.FailureDomain(fmt.Sprint(i % domains))}
	}
	return fleet
}

// topologiesOf returns the topology of every daemon.
func topologiesOf(fleet []Daemon) map[ident.Host]Topology {
	topologies := make(map[ident.Host]Topology)
	for i, self := range fleet {
		topologies[self.Host] = NewTopology(self, slices.Delete(slices.Clone(fleet), i, i+1))
	}
	return topologies
}

// TestReportsOfEveryDaemonArriveOnce checks on random fleets that the reports of
// the neighbors and of the sources' cells cover every other daemon exactly once,
// and that senders and receivers agree.
func TestReportsOfEveryDaemonArriveOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(rapid.IntRange(1, 120).Draw(t, "size"), rapid.IntRange(1, 9).Draw(t, "domains"))
		topologies := topologiesOf(fleet)
		for self, topology := range topologies {
			covered := slices.Clone(topology.Neighbors)
			for source, size := range topology.Sources {
				cell := append(slices.Clone(topologies[source].Neighbors), source)
				must.Len(t, size, cell)
				must.SliceContains(t, topologies[source].Sinks, self)
				covered = append(covered, cell...)
			}
			slices.Sort(covered)
			must.Len(t, len(fleet)-1, covered, must.Sprint(self))
			must.Len(t, len(fleet)-1, slices.Compact(covered))
			must.SliceNotContains(t, covered, self)
			for _, neighbor := range topology.Neighbors {
				must.SliceContains(t, topologies[neighbor].Neighbors, self)
			}
			for _, sink := range topology.Sinks {
				must.MapContainsKey(t, topologies[sink].Sources, self)
			}
		}
	})
}

// TestLinksGrowSlowerThanFleet bounds the mean number of links per daemon.
func TestLinksGrowSlowerThanFleet(t *testing.T) {
	for size, maxLinks := range map[int]float64{8: 7, 17: 16, 85: 28, 330: 60} {
		links := 0
		for _, topology := range topologiesOf(newFleet(size, min(size, 4+4*(size/300)))) {
			links += len(topology.Hosts())
		}
		must.LessEq(t, maxLinks, float64(links)/float64(size), must.Sprint(size))
	}
}
