package peer

import (
	"fmt"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

// frame is the encoded form of a Message on a link.
type frame struct {
	Kind    Kind
	Version uint8
	Payload []byte
}

const (
	// MaxFrameBytes is the largest frame that a link accepts.
	MaxFrameBytes = 2 << 20
	// KnownVersion is the newest payload format, for every kind, that this
	// program can decode.
	KnownVersion uint8 = 1
)

// errMalformed is returned for a frame that can't be decoded. It ends the link.
var errMalformed = fault.New(fault.Invalid, "a peer sent a malformed frame", "run the same version on every host")

// encodeFrame encodes a message as a frame.
func encodeFrame(message Message) ([]byte, error) {
	if len(message.Payload) > MaxFrameBytes/2 {
		return nil, fault.New(fault.Invalid, fmt.Sprintf("a message of kind %d with %d payload bytes exceeds the limit of %d", message.Kind, len(message.Payload), MaxFrameBytes/2), "report this as a bug")
	}
	return EncodeCompact(frame(message))
}

// decodeFrame decodes a message from a frame.
func decodeFrame(data []byte) (Message, error) {
	var f frame
	if err := Decode(data, &f); err != nil || f.Kind == 0 {
		return Message{}, errMalformed
	}
	return Message(f), nil
}
