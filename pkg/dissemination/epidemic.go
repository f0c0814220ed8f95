package dissemination

import (
	"math/rand/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Epidemic forwards each new bundle to a few random hosts.
type Epidemic struct {
	// Fanout is the number of hosts that a bundle is forwarded to,
	// UrgentFanout the number for urgent bundles.
	Fanout       int
	UrgentFanout int
}

var _ Strategy = Epidemic{}

// Forward returns random hosts that are up, except from.
func (e Epidemic) Forward(peers *Peers, random *rand.Rand, b *Bundle, from ident.Host) []ident.Host {
	hosts := without(peers.others(), from)
	random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	fanout := e.Fanout
	if b.Urgent {
		fanout = e.UrgentFanout
	}
	return hosts[:min(fanout, len(hosts))]
}

// RepairPeer returns a random other host.
func (Epidemic) RepairPeer(peers *Peers, random *rand.Rand) ident.Host {
	return randomPeer(peers, random)
}

// ReconcilesWith is true on a few random hosts.
func (Epidemic) ReconcilesWith(peers *Peers, random *rand.Rand, _ ident.Host) bool {
	return reconcilesByChance(peers, random)
}
