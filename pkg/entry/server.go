package entry

import (
	"io"
	"log"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/overload"
)

const (
	// headerTimeout bounds how long a caller takes to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout closes idle keep-alive connections if the configuration sets no limit. It is
	// longer than the idle timeouts of load balancers, so that the balancer closes them first.
	idleTimeout = 15 * time.Minute
	// maxHeaderBytes bounds the size of a request's headers.
	maxHeaderBytes = 32 << 10
	// maxStreams bounds the concurrent requests on one HTTP/2 connection.
	maxStreams = 100
	// maxFrameBytes bounds a frame of HTTP/2 that is received: the least that the protocol allows.
	maxFrameBytes = 16 << 10
	// receiveBytes bounds what is received of the bodies on one HTTP/2 connection and not yet read:
	// the least that the protocol allows.
	receiveBytes = 64<<10 - 1
	// pingAfter is how long an HTTP/2 connection may be silent before a ping is
	// sent, and pingTimeout how long the reply may take.
	pingAfter   = 15 * time.Second
	pingTimeout = 10 * time.Second
)

// ServerOptions configure a server for callers.
type ServerOptions struct {
	// Config states how long a connection may be idle. It may be nil, and state none.
	Config config.Source
	// Registerer registers the metrics; if nil, they are not registered.
	Registerer prometheus.Registerer
}

// DescriptorLimit returns how many descriptors this process may have: as many as are stated, if
// that is not zero, and as the kernel allows. It is zero if neither sets a limit.
func DescriptorLimit(stated int) int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return stated
	}
	if stated > 0 {
		return min(stated, int(limit.Cur))
	}
	return int(limit.Cur)
}

// NewServer returns a server that accepts HTTP/1.1 and unencrypted HTTP/2, which
// the load balancer uses.
func NewServer(handler http.Handler, opts ServerOptions) *http.Server {
	open := newConnections(opts.Config, opts.Registerer)
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		Protocols: &protocols, ConnContext: overload.ConnContext,
		ConnState: func(conn net.Conn, state http.ConnState) {
			open.changed(conn, state)
			overload.Changed(conn, state)
		},
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, SendPingTimeout: pingAfter, PingTimeout: pingTimeout,
			MaxReadFrameSize: maxFrameBytes, MaxReceiveBufferPerConnection: receiveBytes, MaxReceiveBufferPerStream: receiveBytes,
		},
		// Messages of net/http are discarded, since they may contain data that
		// callers sent.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}
