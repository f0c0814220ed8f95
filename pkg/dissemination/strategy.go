package dissemination

import (
	"math/rand/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Strategy chooses the ways that bundles take.
type Strategy interface {
	// Forward returns the hosts that a bundle is sent on to, which came from
	// the given host, or is the daemon's own where from is empty.
	Forward(peers *Peers, random *rand.Rand, b *Bundle, from ident.Host) []ident.Host
	// Helper returns the host that is asked for what is missing, or none.
	Helper(peers *Peers, random *rand.Rand) ident.Host
	// Greets reports whether the daemon compares with a host that came up.
	Greets(peers *Peers, random *rand.Rand, host ident.Host) bool
}

// greeters is about how many hosts compare with one that came up.
const greeters = 8

// greetsByChance lets a few hosts compare with one that came up.
func greetsByChance(peers *Peers, random *rand.Rand) bool {
	return random.IntN(len(peers.Ring)) < greeters
}

// anyOther returns one of the other hosts that are up.
func anyOther(peers *Peers, random *rand.Rand) ident.Host {
	others := peers.others()
	if len(others) == 0 {
		return ""
	}
	return others[random.IntN(len(others))]
}

// without returns the hosts but one.
func without(hosts []ident.Host, left ident.Host) []ident.Host {
	out := make([]ident.Host, 0, len(hosts))
	for _, host := range hosts {
		if host != left {
			out = append(out, host)
		}
	}
	return out
}
