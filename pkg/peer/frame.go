package peer

import "amaranthplank.example/amaranthplank/pkg/fault"

// frame is a Message as it stands on a link.
type frame struct {
	Kind    Kind
	Version uint8
	Payload []byte
}

const (
	// MaxFrameBytes bounds one frame in either direction.
	MaxFrameBytes = 2 << 20
	// KnownVersion is the newest payload format of every kind that this
	// program reads.
	KnownVersion uint8 = 1
)

// errMalformed ends the link that it came over.
var errMalformed = fault.New(fault.Invalid, "a peer sent a malformed frame", "run the same version on every host")

// encodeFrame returns the message's bytes on a link.
func encodeFrame(message Message) ([]byte, error) {
	if len(message.Payload) > MaxFrameBytes/2 {
		return nil, fault.New(fault.Invalid, "a message is too large for a link", "send it in parts")
	}
	return EncodeCompact(frame(message))
}

// decodeFrame reads a message from a link's bytes.
func decodeFrame(data []byte) (Message, error) {
	var f frame
	if err := Decode(data, &f); err != nil || f.Kind == 0 {
		return Message{}, errMalformed
	}
	return Message(f), nil
}
