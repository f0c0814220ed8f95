package orders

import (
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// KeyPrefix is the prefix of all journal keys.
const KeyPrefix external.Key = "orders/"

// prefixOf returns the prefix of the journal keys of one duty.
func prefixOf(duty ident.Duty) external.Key { return KeyPrefix + external.Key(duty) + "/" }

// keyOf returns the journal key of one target.
func keyOf(duty ident.Duty, target ident.Target) external.Key {
	return prefixOf(duty) + external.Key(target)
}
