package membership

import "amaranthplank.example/amaranthplank/pkg/ident"

// Record is what daemons tell each other of one member.
type Record struct {
	Host          ident.Host
	Incarnation   ident.Incarnation
	FailureDomain ident.FailureDomain
	Region        ident.Region
	// Address is where the member takes links, as IP and port.
	Address string
	// Ended says that the incarnation is over: the member was silent for too
	// long, or has left. An incarnation that ended never comes alive.
	Ended bool
	// Left says that the member has said so itself.
	Left bool
}
