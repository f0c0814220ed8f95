package responsecheck

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport makes HTTP/1 exchanges, and fails with an Error if a response is not well-formed. The
// connection of such a response is closed.
type Transport struct {
	base *http.Transport
}

var _ http.RoundTripper = (*Transport)(nil)

// New returns a transport that makes its exchanges by base, which must not be used otherwise. TLS
// over a tunnel through a proxy of base is not checked.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return checked(dial(ctx, network, address))
	}
	base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return checked(dialTLS(ctx, dial, base.TLSClientConfig, network, address))
	}
	return &Transport{base: base}
}

// checked returns a connection whose responses are checked.
func checked(c net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// dialTLS makes a connection and the TLS handshake. It verifies the host of the address, unless the
// configuration names another, and offers HTTP/1 alone.
func dialTLS(ctx context.Context, dial func(context.Context, string, string) (net.Conn, error), config *tls.Config, network, address string) (net.Conn, error) {
	plain, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	config = config.Clone()
	if config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	config.NextProtos = nil
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	secured := tls.Client(plain, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = plain.Close()
		return nil, err
	}
	return secured, nil
}

// RoundTrip makes one exchange.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.RoundTripOn(r, func(net.Conn) {})
}

// RoundTripOn is RoundTrip, and passes each connection that it uses to connected before it writes
// to it: as the dial function of the transport returned it, or the TLS connection over that.
func (t *Transport) RoundTripOn(r *http.Request, connected func(net.Conn)) (*http.Response, error) {
	state := &requestState{}
	var used *use
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used = beginUse(info.Conn, r, state)
		connected(used.below)
	}}
	response, err := t.base.RoundTrip(state.watch(r.WithContext(httptrace.WithClientTrace(r.Context(), trace))))
	if err != nil {
		return nil, err
	}
	if !used.headRead() {
		_ = used.below.Close()
		_ = response.Body.Close()
		return nil, errUnrequested
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &trailedBody{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

// use is the use of a connection for one request.
type use struct {
	// below is the connection without the checks.
	below net.Conn
	// exchange is nil if the connection is not checked.
	exchange *exchange
}

// beginUse begins the exchange of a request on a connection, if that is checked.
func beginUse(connection net.Conn, r *http.Request, state *requestState) *use {
	c, ok := connection.(*conn)
	if !ok {
		return &use{below: connection}
	}
	x := &exchange{request: state, head: head{upgrade: r.Header.Get("Upgrade") != ""}}
	c.exchange.Store(x)
	return &use{below: c.Conn, exchange: x}
}

// headRead reports whether the head of the response arrived in the exchange, which is not known of a
// connection that is not checked.
func (u *use) headRead() bool { return u.exchange == nil || u.exchange.headRead.Load() }

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
