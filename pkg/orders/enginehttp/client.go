package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/orders"
	"amaranthplank.example/amaranthplank/pkg/platform"
	"amaranthplank.example/amaranthplank/pkg/target"
)

const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = 2 * time.Second
	// maxReportBytes bounds an engine's report.
	maxReportBytes = 1 << 20
)

// Client sends orders, each on a connection of its own: a transport repeats a
// request by itself only on a connection that was used before.
type Client struct {
	credential string
	orders     *http.Client
	reports    *http.Client
}

var _ orders.EngineClient = (*Client)(nil)

// New returns a client that shows the engines the system's credential.
func New(credential string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	fresh := &http.Transport{DialContext: abortive(dialer), DisableKeepAlives: true, DisableCompression: true}
	kept := &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1}
	return &Client{
		credential: credential,
		orders:     &http.Client{Transport: fresh, CheckRedirect: noRedirect},
		reports:    &http.Client{Transport: kept, CheckRedirect: noRedirect},
	}
}

// abortive dials connections that drop what is unsent when they are closed, so
// that an order is not delivered long after its sender gave up.
func abortive(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			if err := tcp.SetLinger(0); err != nil {
				_ = conn.Close()
				return nil, err
			}
		}
		return conn, nil
	}
}

// noRedirect keeps orders from going anywhere but to their target.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Send sends an order once.
func (c *Client) Send(ctx context.Context, engine platform.TargetRecord, order target.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+engine.Address+target.PathOrders, bytes.NewReader(body))
	if err != nil {
		return err
	}
	// Without it the transport can't repeat the request by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(target.HeaderCredential, c.credential)
	response, err := c.orders.Do(request)
	if err != nil {
		return sendFailure(err)
	}
	defer func() { _ = response.Body.Close() }()
	return statusFailure(response.StatusCode)
}

// Report returns the engine's own report of itself.
func (c *Client) Report(ctx context.Context, engine platform.TargetRecord) (fleet.LoadReport, error) {
	var report fleet.LoadReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+engine.Address+target.PathLoad, nil)
	if err != nil {
		return report, err
	}
	request.Header.Set(target.HeaderCredential, c.credential)
	response, err := c.reports.Do(request)
	if err != nil {
		return report, fault.Wrap(err, fault.Unavailable, "the engine did not report", "look again later")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return report, statusFailure(response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report)
	return report, err
}

// Close closes the kept connections.
func (c *Client) Close() { c.reports.CloseIdleConnections() }

// sendFailure tells a sending that surely never left from one that may have.
func sendFailure(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.Wrap(err, fault.Unavailable, "the engine can't be reached", "try again later")
	}
	return fault.Wrap(err, fault.Unknown, "the engine's answer to an order was lost", "read the engine's report")
}

// statusFailure returns the failure that an answer's status stands for.
func statusFailure(status int) error {
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusConflict:
		return fault.New(fault.Fenced, "the engine has seen a later holder", "stop ordering")
	case status >= 400 && status < 500:
		return fault.New(fault.Invalid, "the engine refused the order", "look at what the engine can do")
	}
	return fault.New(fault.Unknown, "the engine failed over an order", "read the engine's report")
}
