package external

import "amaranthplank.example/amaranthplank/pkg/ident"

// HostRecord is one host of the system as the platform lists it.
type HostRecord struct {
	Host          ident.Host          `json:"host"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	Region        ident.Region        `json:"region"`
	// PeerAddress is where its daemon accepts peer links, as IP and port.
	PeerAddress string `json:"peerAddress"`
	// Leaving is set once the platform plans to remove the host.
	Leaving bool `json:"leaving"`
}
