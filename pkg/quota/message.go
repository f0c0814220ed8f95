package quota

import "amaranthplank.example/amaranthplank/pkg/ident"

// Message carries needs to a keeper, or grants to a holder. Daemons exchange it as an
// array of its fields, so that fields may only be appended.
type Message struct {
	// From and To are the ends of the message, which may pass through another daemon.
	From, To ident.Host
	Needs    []Need
	Grants   []Grant
}

// Need requests units of one workspace.
type Need struct {
	Workspace ident.Workspace
	// ID identifies the need at its holder. Zero means that no grant is expected.
	ID uint64
	// Amount is how many units the holder can use, Least the fewest that help it.
	Amount, Least float64
	// Returned are units that the keeper's process Epoch granted and that were not used.
	Returned float64
	Epoch    uint64
}

// Grant answers a Need.
type Grant struct {
	Workspace ident.Workspace
	ID        uint64
	// Amount is zero if the need is denied.
	Amount float64
	// WaitMillis is how long it takes until the need can be granted.
	WaitMillis int64
	// Epoch identifies the keeper's process.
	Epoch uint64
}
