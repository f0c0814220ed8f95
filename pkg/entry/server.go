package entry

import (
	"io"
	"log"
	"math"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"amaranthplank.example/amaranthplank/pkg/config"
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
	maxStreams = 250
	// pingAfter is how long an HTTP/2 connection may be silent before a ping is
	// sent, and pingTimeout how long the reply may take.
	pingAfter   = 15 * time.Second
	pingTimeout = 10 * time.Second
)

// ServerOptions configure a server for callers.
type ServerOptions struct {
	// Config states how long a connection may be idle. It may be nil, and state none.
	Config config.Source
	// FileDescriptors is how many descriptors the process may have, or zero if that is not
	// known. Beyond half of them callers' connections are closed that are idle.
	FileDescriptors int
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

// callerDescriptors is the part of the descriptors that callers' connections may take before
// idle ones are closed. The others are for connections to targets, to other daemons and files.
const callerDescriptors = 0.5

// NewServer returns a server that accepts HTTP/1.1 and unencrypted HTTP/2, which
// the load balancer uses.
func NewServer(handler http.Handler, opts ServerOptions) *http.Server {
	open := newConnections(opts.Config, int(callerDescriptors*float64(opts.FileDescriptors)), opts.Registerer)
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		Protocols: &protocols, ConnState: open.changed,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, SendPingTimeout: pingAfter, PingTimeout: pingTimeout,
		},
		// Messages of net/http are discarded, since they may contain data that
		// callers sent.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}
