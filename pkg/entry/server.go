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
	// idleTimeout closes idle keep-alive connections. It is longer than the idle
	// timeouts of load balancers, so that the balancer closes them first.
	idleTimeout = 15 * time.Minute
	// maxHeaderBytes bounds the size of a request's headers.
	maxHeaderBytes = 32 << 10
	// maxStreams bounds the concurrent requests on one HTTP/2 connection.
	maxStreams = 250
	// pingAfter is how long an HTTP/2 connection may be silent before a ping is
	// sent, and pingTimeout how long the reply may take.
	pingAfter   = 15 * time.Second
	pingTimeout = 10 * time.Second
)

// NewServer returns a server that accepts HTTP/1.1 and unencrypted HTTP/2, which
// the load balancer uses.
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
		// Messages of net/http are discarded, since they may contain data that
		// callers sent.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}
