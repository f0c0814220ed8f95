package orders

import "amaranthplank.example/amaranthplank/pkg/ident"

// HoldAcceptance says which holds are in force.
type HoldAcceptance interface {
	// HoldsInForce reports whether every daemon that serves keeps to the
	// holds of the given revision or of a later one.
	HoldsInForce(revision ident.Revision) bool
}
