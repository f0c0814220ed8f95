package peer

import "amaranthplank.example/amaranthplank/pkg/ident"

// Address is where another daemon takes links.
type Address struct {
	Host ident.Host
	// Address is an IP and a port.
	Address string
}
