package dissemination

import (
	"math/rand/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Flat sends each bundle directly to every other host. Each receiver forwards
// an urgent bundle once to every other host.
type Flat struct{}

var _ Strategy = Flat{}

// Forward returns every other host for urgent bundles and for the daemon's own,
// and no host for others.
func (Flat) Forward(peers *Peers, _ *rand.Rand, b *Bundle, from ident.Host) []ident.Host {
	if from != "" && !b.Urgent {
		return nil
	}
	return without(peers.others(), from)
}

// RepairPeer returns a random other host.
func (Flat) RepairPeer(peers *Peers, random *rand.Rand) ident.Host { return randomPeer(peers, random) }

// ReconcilesWith is true on a few random hosts.
func (Flat) ReconcilesWith(peers *Peers, random *rand.Rand, _ ident.Host) bool {
	return reconcilesByChance(peers, random)
}
