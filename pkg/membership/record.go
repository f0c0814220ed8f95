package membership

import "amaranthplank.example/amaranthplank/pkg/ident"

// Record is what daemons tell each other about one member.
type Record struct {
	Host          ident.Host
	Incarnation   ident.Incarnation
	FailureDomain ident.FailureDomain
	Region        ident.Region
	// Address is where the member accepts links, as IP and port.
	Address string
	// Ended says that the incarnation is over: the member was silent for too
	// long, or has left. An ended incarnation never becomes alive again.
	Ended bool
	// Left says that the member itself has said that it stops.
	Left bool
}
