package membership

import "amaranthplank.example/amaranthplank/pkg/ident"

// Record is the state of one member that daemons exchange.
type Record struct {
	Host          ident.Host
	Incarnation   ident.Incarnation
	FailureDomain ident.FailureDomain
	Region        ident.Region
	// Address is where the member accepts links, as IP and port.
	Address string
	// Ended is set once the incarnation is over: the member had no heartbeat
	// for too long, or has left. An ended incarnation never becomes alive again.
	Ended bool
	// Left is set if the member itself has announced its stop.
	Left bool
}
