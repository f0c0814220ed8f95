package orders

import "amaranthplank.example/amaranthplank/pkg/ident"

// ProcessFate says whether an earlier holder can still act.
type ProcessFate interface {
	// Gone reports whether one life of a host's process is known to be over:
	// it said that it stops, a later life of the same host was heard of, or
	// the platform has taken the host off its list. Silence is not enough.
	Gone(host ident.Host, incarnation ident.Incarnation) bool
}
