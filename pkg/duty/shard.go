package duty

import (
	"strings"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// enginePrefix is the prefix of the duties of sending orders to a model's engines.
const enginePrefix = "engines/"

// Supply is the duty of ordering targets from the platform. It is a single shard,
// so that fencing tokens are comparable across all orders to the platform.
const Supply ident.Duty = "supply"

// Engines returns the duty of sending orders to the engines of one model.
func Engines(model ident.Model) ident.Duty { return ident.Duty(enginePrefix + string(model)) }

// EnginesModel returns the model of a duty that Engines returned, or false for
// any other duty.
func EnginesModel(d ident.Duty) (ident.Model, bool) {
	model, ok := strings.CutPrefix(string(d), enginePrefix)
	return ident.Model(model), ok
}
