package target

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Reuse says which connections an exchange may use.
type Reuse int

const (
	// ReuseAny takes a pooled connection or makes one.
	ReuseAny Reuse = iota
	// ReuseRecent takes only a connection that was in use a moment ago, or
	// makes one. Exchanges that must not be repeated use it.
	ReuseRecent
	// ReuseNone makes a connection. Resumed streams use it, since whatever
	// swallowed the old connection may have swallowed the pooled ones too.
	ReuseNone
)

const (
	// idleTimeout is how long a pooled connection may idle.
	idleTimeout = 30 * time.Second
	// recentTimeout is the same for exchanges that must not be repeated.
	recentTimeout = time.Second
	// idlePerTarget bounds the pooled connections of one target.
	idlePerTarget = 64
	// maxHeaderBytes bounds the header of a target's answer.
	maxHeaderBytes = 64 << 10
)

// Client makes exchanges with targets. It follows no redirect, keeps no cookie,
// asks for no compression and never repeats an exchange by itself.
type Client struct {
	transports [ReuseNone + 1]*http.Transport
}

// Dial makes a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client with pools of its own over TCP.
func NewClient() *Client { return NewClientWith(NewDialer().DialContext) }

// NewClientWith returns a client that makes its connections with dial.
func NewClientWith(dial Dial) *Client {
	counted := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	c := &Client{}
	c.transports[ReuseAny] = newTransport(counted, idleTimeout)
	c.transports[ReuseRecent] = newTransport(counted, recentTimeout)
	c.transports[ReuseNone] = newTransport(counted, idleTimeout)
	c.transports[ReuseNone].DisableKeepAlives = true
	return c
}

// newTransport returns a transport whose idle connections last for idle.
func newTransport(dial Dial, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		IdleConnTimeout:        idle,
		MaxIdleConnsPerHost:    idlePerTarget,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Do makes one exchange. The request's body must not be nil, so that the
// transport can't take the request for one that it may send again. The trace
// tells whether the request left the process.
func (c *Client) Do(r *http.Request, reuse Reuse) (*http.Response, *Trace, error) {
	trace := &Trace{}
	r.GetBody = nil
	response, err := c.transports[reuse].RoundTrip(r.WithContext(trace.with(r.Context())))
	return response, trace, err
}

// Close closes the idle connections.
func (c *Client) Close() {
	for _, transport := range c.transports {
		transport.CloseIdleConnections()
	}
}
