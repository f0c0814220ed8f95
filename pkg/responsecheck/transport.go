package responsecheck

import (
	"context"
	"crypto/tls"
	"io"
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

// New returns a transport that makes its exchanges by base, which must not be used otherwise.
// Connections by a proxy of base and TLS are not checked.
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

// dialTLS makes a connection and the TLS handshake, in which it verifies the host of the address
// unless the configuration names another.
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
// to it: as the dial function of the transport returned it, unless that was secured by TLS.
func (t *Transport) RoundTripOn(r *http.Request, connected func(net.Conn)) (*http.Response, error) {
	state := &requestState{}
	var current *exchange
	var used *conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		current, used = nil, nil
		if c, ok := info.Conn.(*conn); ok {
			current = &exchange{request: state, head: head{upgrade: r.Header.Get("Upgrade") != ""}}
			used = c
			c.exchange.Store(current)
			info.Conn = c.Conn
		}
		connected(info.Conn)
	}}
	response, err := t.base.RoundTrip(state.watch(r.WithContext(httptrace.WithClientTrace(r.Context(), trace))))
	if err != nil {
		return nil, err
	}
	if current != nil && !current.headRead.Load() {
		_ = used.Close()
		_ = response.Body.Close()
		return nil, errUnrequested
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &trailedBody{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// watch records in the state when the transport has read the body of a request, which it may
// change.
func (s *requestState) watch(r *http.Request) *http.Request {
	if r.Body == nil || r.Body == http.NoBody {
		s.taken.Store(true)
		return r
	}
	wrap := func(body io.ReadCloser) io.ReadCloser {
		left := r.ContentLength
		if left == 0 {
			left = -1
		}
		return &requestBody{ReadCloser: body, state: s, left: left}
	}
	r.Body = wrap(r.Body)
	if again := r.GetBody; again != nil {
		r.GetBody = func() (io.ReadCloser, error) {
			body, err := again()
			if err != nil {
				return nil, err
			}
			s.taken.Store(false)
			return wrap(body), nil
		}
	}
	return r
}
