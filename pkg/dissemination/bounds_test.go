package dissemination

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// maxChangeDelay and maxControlBytes are the bounds that the system
	// guarantees: on the time until a change of the control state has reached
	// every daemon, and on the control traffic of one daemon per second.
	maxChangeDelay  = 3 * time.Second
	maxControlBytes = 8 << 10
)

func TestEightDaemonsStayWithinBounds(t *testing.T) {
	r := measure(newFleet(8, Flat{}, 1), scenario{loss: 0.05, restarts: 1.0 / 8}, time.Minute)
	t.Log(r.String())
	must.LessEq(t, maxChangeDelay, r.worstChange())
	must.LessEq(t, maxControlBytes, r.worst)
}

func TestBoundsDetectDeadLinksAndCostlyStrategies(t *testing.T) {
	dead := measure(newFleet(8, Flat{}, 1), scenario{loss: 1}, 10*time.Second)
	must.Greater(t, maxChangeDelay, dead.worstChange())
	costly := measure(newFleet(16, Epidemic{8, 8}, 1), scenario{}, 5*time.Second)
	must.Greater(t, maxControlBytes, costly.worst)
}

// fleetSizes returns the fleet sizes from the environment.
func fleetSizes() []int {
	var sizes []int
	for _, field := range strings.Fields(os.Getenv("AMARANTHPLANK_COMPARE")) {
		n, err := strconv.Atoi(field)
		if err == nil {
			sizes = append(sizes, n)
		}
	}
	return sizes
}

// TestCompareStrategies prints the table of docs/DECISIONS/dissemination.md.
func TestCompareStrategies(t *testing.T) {
	if os.Getenv("AMARANTHPLANK_COMPARE") == "" {
		t.Skip("set AMARANTHPLANK_COMPARE to the sizes, such as \"8 64 330\"")
	}
	candidates := []Strategy{Flat{}, Epidemic{2, 8}, Epidemic{3, 8}, Trees{2}, Trees{4}}
	scenarios := []scenario{
		{"5% loss, 10% restarting", 0.05, 0.1, false},
		{"the same, half cut off for 15 s", 0.05, 0.1, true},
	}
	for _, s := range scenarios {
		fmt.Printf("%s\n%-28s    sent   worst     p50     p99     max  change   gaps\n", s.name, "")
		for _, size := range fleetSizes() {
			for _, c := range candidates {
				if !strings.Contains(fmt.Sprintf("%T%v", c, c), os.Getenv("AMARANTHPLANK_CANDIDATE")) {
					continue
				}
				r := measure(newFleet(size, c, 1), s, time.Minute)
				fmt.Printf("%4d %-23s %s\n", size, fmt.Sprintf("%T%v", c, c), r.String())
			}
		}
	}
}
