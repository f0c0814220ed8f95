package gateway

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
)

// neighboursIn returns the neighbours of a daemon in a fleet of a size.
func neighboursIn(size, self int) []ident.Host {
	var members []membership.Member
	for i := range size {
		if i != self {
			host := ident.Host(fmt.Sprintf("h%03d", i))
			members = append(members, membership.Member{Host: host, Address: "a"})
		}
	}
	var hosts []ident.Host
	for _, address := range neighboursOf(ident.Host(fmt.Sprintf("h%03d", self)), members) {
		hosts = append(hosts, address.Host)
	}
	return hosts
}

// TestNeighboursAreMutualAndBounded sees that both ends of a link want it, and
// that small fleets are linked whole.
func TestNeighboursAreMutualAndBounded(t *testing.T) {
	for _, size := range []int{1, 2, 8, 16, 17, 18, 77} {
		for self := range size {
			hosts := neighboursIn(size, self)
			must.Eq(t, min(size-1, 2*neighbours), len(hosts), must.Sprint(size, self))
			other := 0
			for _, host := range hosts {
				_, err := fmt.Sscanf(string(host), "h%d", &other)
				must.NoError(t, err)
				must.True(t, slices.Contains(neighboursIn(size, other), ident.Host(fmt.Sprintf("h%03d", self))), must.Sprint(size, self, host))
			}
		}
	}
}
