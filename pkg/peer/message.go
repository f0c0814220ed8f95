package peer

// Message is one message between daemons.
type Message struct {
	Kind Kind
	// Version is the payload's format; a receiver skips newer ones than it
	// knows.
	Version uint8
	// Payload is CBOR.
	Payload []byte
}
