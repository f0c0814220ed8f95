package orders

import "amaranthplank.example/amaranthplank/pkg/ident"

// TerminationDetector reports whether the process of an earlier holder has ended.
type TerminationDetector interface {
	// Ended reports whether one incarnation of a host's process is known to have
	// ended: it announced its stop, a later incarnation of the same host was
	// observed, or the platform has removed the host from its list. That the
	// process sends nothing is not enough.
	Ended(host ident.Host, incarnation ident.Incarnation) bool
}
