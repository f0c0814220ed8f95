package peer

import (
	"github.com/ugorji/go/codec"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

const (
	// maxInitLength bounds what a length in a message reserves at once.
	maxInitLength = 4096
	// maxDepth bounds how deep a payload nests.
	maxDepth = 16
)

// namedHandle writes structs as maps, so that fields may come and go.
// arrayHandle writes them as arrays, to which fields are only appended.
var (
	namedHandle = newHandle(false)
	arrayHandle = newHandle(true)
)

// newHandle returns the CBOR settings of payloads.
func newHandle(arrays bool) *codec.CborHandle {
	handle := new(codec.CborHandle)
	handle.Canonical = true
	handle.StructToArray = arrays
	handle.MaxInitLen = maxInitLength
	handle.MaxDepth = maxDepth
	return handle
}

// Encode returns a value as CBOR with structs as maps.
func Encode(value any) ([]byte, error) { return encode(value, namedHandle) }

// EncodeCompact returns a value as CBOR with structs as arrays. Decode reads
// both forms.
func EncodeCompact(value any) ([]byte, error) { return encode(value, arrayHandle) }

// encode returns a value as CBOR.
func encode(value any, handle *codec.CborHandle) ([]byte, error) {
	var payload []byte
	if err := codec.NewEncoderBytes(&payload, handle).Encode(value); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "a message could not be encoded", "report the defect")
	}
	return payload, nil
}

// Decode reads a value from CBOR.
func Decode(payload []byte, value any) error {
	if err := codec.NewDecoderBytes(payload, namedHandle).Decode(value); err != nil {
		return fault.Wrap(err, fault.Invalid, "a message could not be decoded", "run the same version on every host")
	}
	return nil
}
