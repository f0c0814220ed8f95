package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external/wire"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/responsecheck"
)

const (
	// callTimeout bounds every call but a watch.
	callTimeout = 2 * time.Second
	// watchWait is how long the platform may hold a watch without changes.
	watchWait = 10 * time.Second
	// maxResponseBytes bounds the size of a response.
	maxResponseBytes = 16 << 20
)

// Client makes calls to the platform. It is safe for concurrent use.
type Client struct {
	base   string
	client *http.Client
}

// New returns a client for the platform at a base URL such as
// "http://127.0.0.1:9000".
func New(base string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{base: base, client: &http.Client{Transport: responsecheck.New(transport)}}
}

const (
	// maxIdleConnections bounds the idle connections to the platform.
	maxIdleConnections = 8
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
)

// Close closes the idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// post makes one call and decodes its response, which must arrive within timeout.
func post[Result any](ctx context.Context, c *Client, timeout time.Duration, path string, message any) (Result, error) {
	var result Result
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(message)
	if err != nil {
		return result, fault.Wrap(err, fault.Internal, "the request to "+path+" can't be encoded", "report this as a bug")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return result, fault.Wrap(err, fault.Invalid, "the platform's address is malformed", "correct platform.address in the settings")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return result, callError(err)
	}
	defer func() { _ = response.Body.Close() }()
	return readResponse[Result](response)
}

// readResponse decodes the result of a call, or returns its failure as an error.
func readResponse[Result any](response *http.Response) (Result, error) {
	var result Result
	if response.StatusCode == http.StatusOK {
		if err := responsecheck.DecodeJSON(response.Body, maxResponseBytes, &result); err != nil {
			return result, fault.Wrap(err, fault.Unknown, "the platform's response can't be decoded", "check whether the call took effect")
		}
		return result, nil
	}
	var failure wire.Failure
	if err := responsecheck.DecodeJSON(response.Body, maxResponseBytes, &failure); err != nil || failure.Kind == "" {
		return result, fault.New(fault.Unknown, "the platform returned an error without a reason", "check whether the call took effect")
	}
	return result, fault.New(failure.Kind, failure.Reason, failure.Remedy)
}

// callError returns kind Unavailable if no connection was made, so the call had no
// effect, and kind Unknown otherwise.
func callError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.Wrap(err, fault.Unavailable, "the platform can't be reached", "try again later")
	}
	return fault.Wrap(err, fault.Unknown, "the platform's response was lost", "check whether the call took effect")
}
