package peer

import (
	"testing"

	"github.com/shoenig/test/must"
)

func FuzzDecodeFrame(f *testing.F) {
	encoded, err := encodeFrame(Message{Kind: KindState, Version: 1, Payload: []byte{0xa0}})
	must.NoError(f, err)
	f.Add(encoded)
	f.Add(encoded[:len(encoded)-1])
	f.Add([]byte{0x83, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := decodeFrame(data)
		if err != nil {
			return
		}
		reencoded, err := encodeFrame(message)
		must.NoError(t, err)
		decoded, err := decodeFrame(reencoded)
		must.NoError(t, err)
		must.Eq(t, message.Kind, decoded.Kind)
		must.Eq(t, string(message.Payload), string(decoded.Payload))
	})
}
