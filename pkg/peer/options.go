package peer

import (
	"log/slog"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Options shape a Manager.
type Options struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	// Listener takes links, without TLS; TLS is laid over it.
	Listener net.Listener
	// TLS gives the certificates, or is nil for links in the clear.
	TLS TLSSource
	// Secret is the fleet's shared secret. It is proved on every link; it may
	// be empty only where TLS checks both ends.
	Secret     []byte
	Log        *slog.Logger
	Registerer prometheus.Registerer
	// LinkChanged is told when a link opens or ends; it must not block. It
	// may be nil.
	LinkChanged func(host ident.Host, incarnation ident.Incarnation, up bool)
	// PingEvery is the time between pings, PingTimeout how long an answer or
	// a write may take before the link is replaced. Zero takes the default.
	PingEvery   time.Duration
	PingTimeout time.Duration
	// QueueLimit bounds the waiting messages of one kind to one peer.
	QueueLimit int
}

// The defaults of Options.
const (
	defaultPingEvery   = 2 * time.Second
	defaultPingTimeout = 3 * time.Second
	defaultQueueLimit  = 64
	// handshakeTimeout bounds the opening of a link.
	handshakeTimeout = 1500 * time.Millisecond
	// redialMin and redialMax bound the pause between dials.
	redialMin = 100 * time.Millisecond
	redialMax = 500 * time.Millisecond
)

// fill sets the options that were left out.
func (o *Options) fill() {
	if o.PingEvery == 0 {
		o.PingEvery = defaultPingEvery
	}
	if o.PingTimeout == 0 {
		o.PingTimeout = defaultPingTimeout
	}
	if o.QueueLimit == 0 {
		o.QueueLimit = defaultQueueLimit
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.LinkChanged == nil {
		o.LinkChanged = func(ident.Host, ident.Incarnation, bool) {}
	}
}
