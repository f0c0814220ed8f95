package orders

import "amaranthplank.example/amaranthplank/pkg/fault"

// errConflict is returned when another holder has changed the entry that a
// write was based on.
var errConflict = fault.New(fault.Conflict, "the store entry was changed by another holder", "no action is needed: the entry is read again")
