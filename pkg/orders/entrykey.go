package orders

import (
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/platform"
)

// KeyPrefix starts the keys of the journal.
const KeyPrefix platform.Key = "orders/"

// prefixOf starts the journal keys of one duty.
func prefixOf(duty ident.Duty) platform.Key { return KeyPrefix + platform.Key(duty) + "/" }

// keyOf returns the journal key of one target.
func keyOf(duty ident.Duty, target ident.Target) platform.Key {
	return prefixOf(duty) + platform.Key(target)
}
