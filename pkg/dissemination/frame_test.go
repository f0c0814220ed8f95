package dissemination

import (
	"testing"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/peer"
)

// FuzzFrame decodes arbitrary bytes as a state message. Errors are fine, panics
// are not.
func FuzzFrame(f *testing.F) {
	whole, err := peer.EncodeCompact(&Frame{})
	must.NoError(f, err)
	f.Add(whole)
	f.Add([]byte{0x9f})
	f.Add([]byte{0x9b, 0x00, 0x00, 0x00, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		frame := new(Frame)
		_ = peer.Decode(data, frame)
	})
}
