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

// fleetOf returns daemons that are spread over failure domains.
func fleetOf(size, domains int) []Daemon {
	fleet := make([]Daemon, size)
	for i := range fleet {
		fleet[i] = Daemon{Host: ident.Host(fmt.Sprintf("h%03d", i)), FailureDomain: ident.FailureDomain(fmt.Sprint(i % domains))}
	}
	return fleet
}

// circlesOf returns every daemon's circle.
func circlesOf(fleet []Daemon) map[ident.Host]Circle {
	circles := make(map[ident.Host]Circle)
	for i, self := range fleet {
		circles[self.Host] = CircleOf(self, slices.Delete(slices.Clone(fleet), i, i+1))
	}
	return circles
}

// TestEveryDaemonHearsOfEveryOtherOnce draws fleets and follows what each daemon
// is told: its near ones' own reports, and its sources' cells.
func TestEveryDaemonHearsOfEveryOtherOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := fleetOf(rapid.IntRange(1, 120).Draw(t, "size"), rapid.IntRange(1, 9).Draw(t, "domains"))
		circles := circlesOf(fleet)
		for self, circle := range circles {
			heard := slices.Clone(circle.Near)
			for source, size := range circle.Sources {
				cell := append(slices.Clone(circles[source].Near), source)
				must.Len(t, size, cell)
				must.SliceContains(t, circles[source].Sinks, self)
				heard = append(heard, cell...)
			}
			slices.Sort(heard)
			must.Len(t, len(fleet)-1, heard, must.Sprint(self))
			must.Len(t, len(fleet)-1, slices.Compact(heard))
			must.SliceNotContains(t, heard, self)
			for _, near := range circle.Near {
				must.SliceContains(t, circles[near].Near, self)
			}
			for _, sink := range circle.Sinks {
				must.MapContainsKey(t, circles[sink].Sources, self)
			}
		}
	})
}

// TestLinksGrowSlowerThanTheFleet counts links on the average.
func TestLinksGrowSlowerThanTheFleet(t *testing.T) {
	for size, most := range map[int]float64{8: 7, 17: 16, 85: 28, 330: 60} {
		links := 0
		for _, circle := range circlesOf(fleetOf(size, min(size, 4+4*(size/300)))) {
			links += len(circle.Hosts())
		}
		must.LessEq(t, most, float64(links)/float64(size), must.Sprint(size))
	}
}
