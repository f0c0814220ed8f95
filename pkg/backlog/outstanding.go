package backlog

import "amaranthplank.example/amaranthplank/pkg/ident"

// Outstanding is what a daemon has sent to one engine and not seen computed, in
// prompt tokens.
type Outstanding struct {
	Target ident.Target
	// Urgent is the part of the most urgent rank, Other the rest.
	Urgent float64
	Other  float64
}
