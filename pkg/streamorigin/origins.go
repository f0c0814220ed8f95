package streamorigin

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// streamKeyBytes is the length of a stream's key in a message.
const streamKeyBytes = 6

// streamKey identifies a stream by the hash of the request that began it.
type streamKey uint64

// keyOf returns the key of the stream that a request began.
func keyOf(id ident.Request) streamKey {
	return streamKey(xxhash.Sum64String(string(id)) >> (64 - 8*streamKeyBytes))
}

// Origins are the streams that targets of one software version began. Daemons exchange
// them as an array of the fields, so that fields may only be appended.
type Origins struct {
	Version ident.SoftwareVersion
	// Streams holds the keys of the streams, streamKeyBytes each.
	Streams []byte
	// Model is the model of the streams, or empty for those of a plain service. Daemons of
	// earlier releases don't send it.
	Model ident.Model
	// Service is the plain service of the streams.
	Service ident.Service
}

// pool returns the pool of the streams.
func (o *Origins) pool() ident.Pool { return ident.Pool{Model: o.Model, Service: o.Service} }

// newOrigins returns streams of a pool that targets of a version began.
func newOrigins(pool ident.Pool, version ident.SoftwareVersion, streams []byte) Origins {
	return Origins{Version: version, Streams: streams, Model: pool.Model, Service: pool.Service}
}

// appendKey appends a stream's key to those of a message.
func appendKey(keys []byte, key streamKey) []byte {
	var text [8]byte
	binary.BigEndian.PutUint64(text[:], uint64(key))
	return append(keys, text[8-streamKeyBytes:]...)
}

// splitKeys returns the keys in a message. An incomplete one at the end is ignored.
func splitKeys(keys []byte) (split []streamKey) {
	for ; len(keys) >= streamKeyBytes; keys = keys[streamKeyBytes:] {
		var text [8]byte
		copy(text[8-streamKeyBytes:], keys)
		split = append(split, streamKey(binary.BigEndian.Uint64(text[:])))
	}
	return split
}
