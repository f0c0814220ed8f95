package peer

import (
	"bufio"
	"crypto/sha1" //nolint:gosec // The protocol of web sockets uses it.
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/responsecheck"
)

// TestMalformedUpgradeMakesNoLink guards against a link over a response of which a part is malformed.
// A well-formed one is followed by the handshake, in which this server says nothing.
func TestMalformedUpgradeMakesNoLink(t *testing.T) {
	for line, malformed := range map[string]bool{"X-More: 1": false, "X More: 1": true, "X-More : 1": true, " more": true, "X-More: 1\nX-Other: 1": true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			q, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			sum := sha1.Sum([]byte(q.Header.Get("Sec-WebSocket-Key") + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11")) //nolint:gosec // As above.
			accept := base64.StdEncoding.EncodeToString(sum[:])
			_, _ = io.WriteString(c, "HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Accept: "+accept+"\r\n"+line+"\r\n\r\n")
		}()
		m := startManager(t, "a", 1, "127.0.0.1:0", "s")
		err = m.dial(t.Context(), Address{"b", listener.Addr().String()}, func() {})
		must.Error(t, err)
		must.Eq(t, malformed, responsecheck.As(err) != nil, must.Sprint(line, err))
		m.stop()
		must.NoError(t, listener.Close())
	}
}
