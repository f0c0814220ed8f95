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

// circlesOf returns the circle of every daemon.
func circlesOf(fleet []Daemon) map[ident.Host]Circle {
	circles := make(map[ident.Host]Circle)
	for i, self := range fleet {
		circles[self.Host] = CircleOf(self, slices.Delete(slices.Clone(fleet), i, i+1))
	}
	return circles
}

// TestReportsOfEveryDaemonArriveOnce checks on random fleets that the reports of
// the near daemons and of the sources' cells cover every other daemon exactly
// once, and that senders and receivers agree.
func TestReportsOfEveryDaemonArriveOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(rapid.IntRange(1, 120).Draw(t, "size"), rapid.IntRange(1, 9).Draw(t, "domains"))
		circles := circlesOf(fleet)
		for self, circle := range circles {
			covered := slices.Clone(circle.Near)
			for source, size := range circle.Sources {
				cell := append(slices.Clone(circles[source].Near), source)
				must.Len(t, size, cell)
				must.SliceContains(t, circles[source].Sinks, self)
				covered = append(covered, cell...)
			}
			slices.Sort(covered)
			must.Len(t, len(fleet)-1, covered, must.Sprint(self))
			must.Len(t, len(fleet)-1, slices.Compact(covered))
			must.SliceNotContains(t, covered, self)
			for _, neighbor := range circle.Near {
				must.SliceContains(t, circles[neighbor].Near, self)
			}
			for _, sink := range circle.Sinks {
				must.MapContainsKey(t, circles[sink].Sources, self)
			}
		}
	})
}

// TestLinksGrowSlowerThanFleet bounds the mean number of links per daemon.
func TestLinksGrowSlowerThanFleet(t *testing.T) {
	for size, maxLinks := range map[int]float64{8: 7, 17: 16, 85: 28, 330: 60} {
		links := 0
		for _, circle := range circlesOf(newFleet(size, min(size, 4+4*(size/300)))) {
			links += len(circle.Hosts())
		}
		must.LessEq(t, maxLinks, float64(links)/float64(size), must.Sprint(size))
	}
}
