//go:build knownred

package shift

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestKnownRedDriftAtKivotos plays the whole drift: the fleet that supply holds
// must answer as much interactive work as dependable engines alone.
func TestKnownRedDriftAtKivotos(t *testing.T) {
	for _, drift := range traces(1) {
		if drift.name != "drift" {
			continue
		}
		mixed := measure(kivotos(), drift, policyNamed("ours"), true)
		dependable := measure(kivotos(), drift, policyNamed("ours, all dependable"), true)
		must.GreaterEq(t, leastInteractive, mixed.Interactive/dependable.Interactive)
	}
}
