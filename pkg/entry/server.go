package entry

import (
	"io"
	"log"
	"net/http"
	"time"
)

const (
	// headerTimeout bounds how long a caller takes to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a kept connection may idle. It is longer than
	// balancers keep theirs, so that they are the side that closes.
	idleTimeout = 15 * time.Minute
	// maxHeaderBytes bounds a request's headers.
	maxHeaderBytes = 32 << 10
	// maxStreams bounds the requests at once on one HTTP/2 connection.
	maxStreams = 250
	// pingAfter is how long an HTTP/2 connection may be silent before it is
	// probed, and pingTimeout how long the probe may take.
	pingAfter   = 15 * time.Second
	pingTimeout = 10 * time.Second
)

// NewServer returns a server for callers over HTTP/1.1 and HTTP/2, which the
// balancer speaks without TLS.
func NewServer(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		Protocols: &protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, SendPingTimeout: pingAfter, PingTimeout: pingTimeout,
		},
		// The library's own log could quote what callers sent.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}
