package peer

import "amaranthplank.example/amaranthplank/pkg/ident"

// Handler takes a message that came from a peer. It must not block.
type Handler func(from ident.Host, message Message)

// Mesh sends messages to other daemons over links that may drop them.
type Mesh interface {
	// Send queues a message for a peer. It fails with kind Unavailable where
	// there is no link, and drops the oldest message where the peer is slow.
	Send(to ident.Host, message Message) error
	// Handle sets the handler of a kind. It is called before the mesh runs.
	Handle(kind Kind, handler Handler)
}
