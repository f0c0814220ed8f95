package dissemination

import (
	"math/rand/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Epidemic sends each new bundle on to a few hosts drawn at random.
type Epidemic struct {
	// Fanout is how many hosts a bundle is sent on to, UrgentFanout the same
	// for urgent ones.
	Fanout       int
	UrgentFanout int
}

var _ Strategy = Epidemic{}

// Forward returns the hosts drawn.
func (e Epidemic) Forward(peers *Peers, random *rand.Rand, b *Bundle, from ident.Host) []ident.Host {
	hosts := without(peers.others(), from)
	random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	fanout := e.Fanout
	if b.Urgent {
		fanout = e.UrgentFanout
	}
	return hosts[:min(fanout, len(hosts))]
}

// Helper returns any other host.
func (Epidemic) Helper(peers *Peers, random *rand.Rand) ident.Host { return anyOther(peers, random) }

// Greets lets a few hosts compare with one that came up.
func (Epidemic) Greets(peers *Peers, random *rand.Rand, _ ident.Host) bool {
	return greetsByChance(peers, random)
}
