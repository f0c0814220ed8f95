package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/target"
)

// TestCancelWithMalformedResponseHasFailed guards against a cancel that counts as sent though its engine
// answered with what is no response.
func TestCancelWithMalformedResponseHasFailed(t *testing.T) {
	for head, result := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n": "sent", "HTTP/1.1 000 OK\r\n\r\n": "failed",
		"HTTP/1.1 200 OK\r\nX Trouble: 1\r\n\r\n": "failed", "HTTP/1.1 200 OK\r\nContent-Len": "failed",
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, head)
			}
		}()
		c := newCanceler(Options{Client: target.NewClient()}, EngineProtocol{}, newMetrics(nil))
		c.send(t.Context(), pendingCancel{address: listener.Addr().String(), attempt: "a-1"})
		must.Eq(t, 1, testutil.ToFloat64(c.metrics.cancels.WithLabelValues(result)), must.Sprint(head))
		must.NoError(t, listener.Close())
	}
}
