package peer

import "amaranthplank.example/amaranthplank/pkg/ident"

// Handler handles a message received from a peer. It must not block.
type Handler func(from ident.Host, message Message)

// Mesh sends messages to other daemons over links that may drop them.
type Mesh interface {
	// Send queues a message for a peer. It fails with kind Unavailable if there is
	// no link. If the queue is full it drops the oldest message of the same kind.
	Send(to ident.Host, message Message) error
	// Handle sets the handler of a kind. It must be called before the mesh runs.
	Handle(kind Kind, handler Handler)
}
