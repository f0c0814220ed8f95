package peer

import (
	"github.com/ugorji/go/codec"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

// newHandle returns the CBOR settings of every payload.
func newHandle() *codec.CborHandle {
	handle := new(codec.CborHandle)
	handle.Canonical = true
	handle.MaxInitLen = maxInitLength
	handle.MaxDepth = maxDepth
	return handle
}

const (
	// maxInitLength bounds what a length in a message reserves at once.
	maxInitLength = 4096
	// maxDepth bounds how deep a payload nests.
	maxDepth = 16
)

// Encode returns a value as CBOR.
func Encode(value any) ([]byte, error) {
	var payload []byte
	if err := codec.NewEncoderBytes(&payload, newHandle()).Encode(value); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "a message could not be encoded", "report the defect")
	}
	return payload, nil
}

// Decode reads a value from CBOR.
func Decode(payload []byte, value any) error {
	if err := codec.NewDecoderBytes(payload, newHandle()).Decode(value); err != nil {
		return fault.Wrap(err, fault.Invalid, "a message could not be decoded", "run the same version on every host")
	}
	return nil
}
