//go:build measure

package dissemination

import (
	"cmp"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// fleetSizes returns the fleet sizes from the environment, or all of the table.
func fleetSizes() []int {
	var sizes []int
	for _, field := range strings.Fields(cmp.Or(os.Getenv("AMARANTHPLANK_COMPARE"), "8 64 330")) {
		n, err := strconv.Atoi(field)
		if err == nil {
			sizes = append(sizes, n)
		}
	}
	return sizes
}

// TestCompareStrategies prints the table of docs/DECISIONS/dissemination.md.
func TestCompareStrategies(*testing.T) {
	candidates := []Strategy{Flat{}, Epidemic{2, 8}, Epidemic{3, 8}, Trees{2}, Trees{4}}
	scenarios := []struct {
		name string
		scenario
	}{
		{"5% loss, 10% restarting", scenario{loss: 0.05, restarts: 0.1}},
		{"the same, half cut off for 15 s", scenario{loss: 0.05, restarts: 0.1, partitioned: true}},
	}
	for _, s := range scenarios {
		fmt.Printf("%s\n%-28s    sent   worst     p50     p99     max  change   gaps\n", s.name, "")
		for _, size := range fleetSizes() {
			for _, c := range candidates {
				if !strings.Contains(fmt.Sprintf("%T%v", c, c), os.Getenv("AMARANTHPLANK_CANDIDATE")) {
					continue
				}
				r := measure(newFleet(size, c, 1), s.scenario, time.Minute)
				fmt.Printf("%4d %-23s %s\n", size, fmt.Sprintf("%T%v", c, c), r.String())
			}
		}
	}
}
