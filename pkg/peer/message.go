package peer

// Message is one message between daemons.
type Message struct {
	Kind Kind
	// Version is the payload's format. A receiver skips versions newer than
	// KnownVersion.
	Version uint8
	// Payload is encoded as CBOR.
	Payload []byte
}
