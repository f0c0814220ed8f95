package dissemination

import (
	"math/rand/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Strategy selects the hosts that a daemon sends to.
type Strategy interface {
	// Forward returns the hosts to forward a bundle to. from is the host that
	// the bundle came from, or empty for the daemon's own bundle.
	Forward(peers *Peers, random *rand.Rand, b *Bundle, from ident.Host) []ident.Host
	// RepairPeer returns the host to request missing data from, or "" if no
	// other host is up.
	RepairPeer(peers *Peers, random *rand.Rand) ident.Host
	// ReconcilesWith reports whether the daemon reconciles with a host that
	// came up.
	ReconcilesWith(peers *Peers, random *rand.Rand, host ident.Host) bool
}

// expectedReconcilers is about how many hosts reconcile with one that came up.
const expectedReconcilers = 8

// reconcilesByChance is true on about expectedReconcilers hosts of the fleet.
func reconcilesByChance(peers *Peers, random *rand.Rand) bool {
	return random.IntN(len(peers.Ring)) < expectedReconcilers
}

// randomPeer returns a random other host that is up, or "" if there is none.
func randomPeer(peers *Peers, random *rand.Rand) ident.Host {
	others := peers.others()
	if len(others) == 0 {
		return ""
	}
	return others[random.IntN(len(others))]
}

// without returns the hosts except one.
func without(hosts []ident.Host, excluded ident.Host) []ident.Host {
	out := make([]ident.Host, 0, len(hosts))
	for _, host := range hosts {
		if host != excluded {
			out = append(out, host)
		}
	}
	return out
}
