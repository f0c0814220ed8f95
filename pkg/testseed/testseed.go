package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // Registers the flags that init sets.
)

// Seed is the seed of every property-based test.
const Seed = "20261203"

func init() {
	for name, value := range map[string]string{"rapid.seed": Seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic("testseed: set -" + name + ": " + err.Error())
		}
	}
}
