package target

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/responsecheck"
)

// Reuse selects the pooled connections that an exchange may use.
type Reuse int

const (
	// ReuseAny allows any pooled connection or a new one.
	ReuseAny Reuse = iota
	// ReuseRecent allows only connections that were in use within
	// recentIdleTimeout, or a new one. It is for exchanges that must not be
	// repeated.
	ReuseRecent
	// ReuseNone always makes a new connection. It is for resumed streams, since the
	// fault that broke the old connection may have broken the pooled ones too.
	ReuseNone
)

const (
	// idleTimeout is how long a pooled connection may idle.
	idleTimeout = 30 * time.Second
	// recentIdleTimeout is the same for ReuseRecent.
	recentIdleTimeout = time.Second
	// maxIdlePerTarget bounds the pooled connections of one target.
	maxIdlePerTarget = 64
	// maxHeaderBytes bounds the header of a target's response.
	maxHeaderBytes = 16 << 10
)

// Client sends HTTP requests to targets. It follows no redirects, keeps no cookies,
// requests no compression and never retries.
type Client struct {
	transports [ReuseNone + 1]*responsecheck.Transport
}

// Dial makes a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client with its own TCP connection pools.
func NewClient() *Client { return NewClientWith(NewDialer().DialContext) }

// NewClientWith returns a client that makes its connections with dial.
func NewClientWith(dial Dial) *Client {
	dialCounting := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c}, nil
	}
	c := &Client{}
	c.transports[ReuseAny] = responsecheck.New(newTransport(dialCounting, idleTimeout))
	c.transports[ReuseRecent] = responsecheck.New(newTransport(dialCounting, recentIdleTimeout))
	unpooled := newTransport(dialCounting, idleTimeout)
	unpooled.DisableKeepAlives = true
	c.transports[ReuseNone] = responsecheck.New(unpooled)
	return c
}

// newTransport returns a transport that closes connections after they were idle for
// the given time.
func newTransport(dial Dial, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		IdleConnTimeout:        idle,
		MaxIdleConnsPerHost:    maxIdlePerTarget,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Do sends one request. The trace reports whether the request may have left the
// process. It fails with a responsecheck.Error if the response is malformed. An absent
// body is replaced by an empty one, since the transport sends requests
// without a body again when a reused connection breaks.
func (c *Client) Do(r *http.Request, reuse Reuse) (*http.Response, *Trace, error) {
	trace := &Trace{}
	r.GetBody = nil
	if r.Body == nil || r.Body == http.NoBody {
		r.Body = NewBody(strings.NewReader(""))
	}
	response, err := c.transports[reuse].RoundTripOn(r, func(used net.Conn) { trace.gotConn(r.Context(), used) })
	return response, trace, fault.Shorten(err)
}

// Close closes the idle connections.
func (c *Client) Close() {
	for _, transport := range c.transports {
		transport.CloseIdleConnections()
	}
}
