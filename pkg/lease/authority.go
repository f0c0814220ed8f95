package lease

import "amaranthplank.example/amaranthplank/pkg/ident"

// Authority is the right to act as the holder of a duty. It may end at any
// moment.
type Authority interface {
	// Duty returns the held duty.
	Duty() ident.Duty
	// Fencing returns the fencing token to send with every effect.
	Fencing() ident.FencingToken
	// Check fails with ErrLost unless the duty is certain to be held now. Call
	// it immediately before each effect.
	Check() error
}
