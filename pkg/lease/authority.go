package lease

import "amaranthplank.example/amaranthplank/pkg/ident"

// Authority is the right to act in a duty. It may end at any moment.
type Authority interface {
	// Duty returns the duty that is held.
	Duty() ident.Duty
	// Fencing returns the number that every effect must bear.
	Fencing() ident.Fencing
	// Check fails with ErrLost unless the duty is surely held now. It is
	// called immediately before each effect.
	Check() error
}
