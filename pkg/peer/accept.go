package peer

import (
	"context"
	"crypto/tls"
	"net/http"

	"github.com/coder/websocket"
)

// linkPath is the HTTP path on which links are accepted.
const linkPath = "/peer"

// serve accepts connections until the server is closed.
func (m *Manager) serve(server *http.Server) error {
	listener := m.opts.Listener
	if m.opts.TLS != nil {
		listener = tls.NewListener(listener, &tls.Config{
			MinVersion: tls.VersionTLS13,
			GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
				return m.opts.TLS.Server()
			},
		})
	}
	return server.Serve(listener)
}

// accept upgrades one request to a link and runs the link until it ends.
func (m *Manager) accept(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != linkPath {
		http.NotFound(w, r)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(MaxFrameBytes)
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	remote, err := acceptHandshake(handshakeCtx, conn, &m.opts)
	cancel()
	if err != nil {
		m.metrics.ended.WithLabelValues("handshake").Inc()
		m.opts.Log.Warn("link refused", "remote", r.RemoteAddr, "error", err)
		return
	}
	m.runLink(ctx, conn, remote)
}
