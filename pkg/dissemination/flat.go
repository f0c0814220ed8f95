package dissemination

import (
	"math/rand/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Flat sends each bundle to every other host directly. Urgent ones are sent
// on once by every receiver.
type Flat struct{}

var _ Strategy = Flat{}

// Forward returns every other host for own and urgent bundles.
func (Flat) Forward(peers *Peers, _ *rand.Rand, b *Bundle, from ident.Host) []ident.Host {
	if from != "" && !b.Urgent {
		return nil
	}
	return without(peers.others(), from)
}

// Helper returns any other host.
func (Flat) Helper(peers *Peers, random *rand.Rand) ident.Host { return anyOther(peers, random) }

// Greets lets a few hosts compare with one that came up.
func (Flat) Greets(peers *Peers, random *rand.Rand, _ ident.Host) bool {
	return greetsByChance(peers, random)
}
