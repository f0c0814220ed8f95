package orders

import "amaranthplank.example/amaranthplank/pkg/ident"

// HoldAcceptance reports which holds have been accepted by the daemons.
type HoldAcceptance interface {
	// HoldsInForce reports whether every serving daemon applies the holds of
	// the given revision or of a later one.
	HoldsInForce(revision ident.Revision) bool
}
