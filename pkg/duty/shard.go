package duty

import (
	"strings"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// enginePrefix starts the names of the shards of engine orders.
const enginePrefix = "engines/"

// Supply is the duty of ordering targets from the platform. It is one shard, so
// that its fencing numbers are comparable across all orders to the platform.
const Supply ident.Duty = "supply"

// Engines returns the duty of ordering the engines of one model.
func Engines(model ident.Model) ident.Duty { return ident.Duty(enginePrefix + string(model)) }

// EnginesModel returns the model of a shard of engine orders, or false where
// the duty is another one.
func EnginesModel(d ident.Duty) (ident.Model, bool) {
	model, ok := strings.CutPrefix(string(d), enginePrefix)
	return ident.Model(model), ok
}
