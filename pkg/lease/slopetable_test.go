//go:build measure

package lease_test

import "testing"

// TestSlopes prints the store call rates that the docs quote. It asserts nothing.
func TestSlopes(t *testing.T) {
	for _, hosts := range []int{8, 32, 128, designHosts} {
		for _, duties := range []int{2, designDuties} {
			got := steadyRates(t, hosts, duties)
			t.Logf("%3d hosts, %2d duties: %.1f reads/s, %.1f writes/s", hosts, duties, got.reads, got.writes)
		}
	}
}
