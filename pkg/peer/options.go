package peer

import (
	"log/slog"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Options configure a Manager.
type Options struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	// Listener accepts links. It is a plain listener: the Manager adds TLS itself.
	Listener net.Listener
	// TLS provides the certificates. It is nil for unencrypted links.
	TLS TLSSource
	// Secret is the fleet's shared secret. Both ends of each link prove that they
	// have it. It may be empty only if TLS authenticates both ends.
	Secret     []byte
	Log        *slog.Logger
	Registerer prometheus.Registerer
	// LinkChanged is called when a link opens or ends. It must not block and may be
	// nil.
	LinkChanged func(host ident.Host, incarnation ident.Incarnation, up bool)
	// PingInterval is the time between pings. PingTimeout is how long the response to
	// a ping, or a write, may take before the link is ended. Zero selects the default.
	PingInterval time.Duration
	PingTimeout  time.Duration
	// QueueLimit bounds the queued messages of one kind for one peer.
	QueueLimit int
}

// The defaults of Options.
const (
	defaultPingInterval = 2 * time.Second
	defaultPingTimeout  = 3 * time.Second
	defaultQueueLimit   = 64
	// handshakeTimeout bounds the time to open a link.
	handshakeTimeout = 1500 * time.Millisecond
	// redialMin and redialMax bound the pause between dials.
	redialMin = 100 * time.Millisecond
	redialMax = 500 * time.Millisecond
)

// setDefaults sets the options that are zero.
func (o *Options) setDefaults() {
	if o.PingInterval == 0 {
		o.PingInterval = defaultPingInterval
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
