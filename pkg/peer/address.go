package peer

import "amaranthplank.example/amaranthplank/pkg/ident"

// Address is the network address on which another daemon accepts links.
type Address struct {
	Host ident.Host
	// Address is an IP address and a port.
	Address string
}
