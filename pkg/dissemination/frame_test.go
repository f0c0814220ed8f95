package dissemination

import (
	"testing"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/peer"
)

// FuzzFrame takes whatever a peer may send as state: it is refused or taken in,
// and ends nothing.
func FuzzFrame(f *testing.F) {
	whole, err := peer.EncodeCompact(&Frame{})
	must.NoError(f, err)
	f.Add(whole)
	f.Add([]byte{0x9f})
	f.Add([]byte{0x9b, 0x00, 0x00, 0x00, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		frame := new(Frame)
		// Any error is an answer; only a panic is not.
		_ = peer.Decode(data, frame)
	})
}
