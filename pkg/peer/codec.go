package peer

import (
	"github.com/ugorji/go/codec"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

const (
	// maxInitLength bounds the elements that are allocated at once for a length
	// stated in a message.
	maxInitLength = 4096
	// maxDepth bounds the nesting of a payload.
	maxDepth = 16
)

// namedHandle encodes structs as maps, so that fields may be added and removed.
// arrayHandle encodes them as arrays, so that fields may only be appended, and
// numbers in as few bytes as keep their value.
var (
	namedHandle = newHandle(false)
	arrayHandle = newHandle(true)
)

// newHandle returns the CBOR settings for payloads.
func newHandle(arrays bool) *codec.CborHandle {
	handle := new(codec.CborHandle)
	handle.Canonical = true
	handle.StructToArray = arrays
	handle.OptimumSize = arrays
	handle.MaxInitLen = maxInitLength
	handle.MaxDepth = maxDepth
	return handle
}

// Encode encodes a value as CBOR with structs as maps.
func Encode(value any) ([]byte, error) { return encode(value, namedHandle) }

// EncodeCompact encodes a value as CBOR with structs as arrays. Decode reads both
// forms.
func EncodeCompact(value any) ([]byte, error) { return encode(value, arrayHandle) }

// encode encodes a value as CBOR.
func encode(value any, handle *codec.CborHandle) ([]byte, error) {
	var payload []byte
	if err := codec.NewEncoderBytes(&payload, handle).Encode(value); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the CBOR encoding failed", "report this as a bug")
	}
	return payload, nil
}

// Decode decodes a value from CBOR.
func Decode(payload []byte, value any) error {
	if err := codec.NewDecoderBytes(payload, namedHandle).Decode(value); err != nil {
		return fault.Wrap(err, fault.Invalid, "the CBOR data can't be decoded", "run the same version on every host")
	}
	return nil
}
