package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external/wire"
	"amaranthplank.example/amaranthplank/pkg/fault"
)

const (
	// callTimeout bounds every call but a watch.
	callTimeout = 2 * time.Second
	// watchWait is how long the platform lets a watch wait.
	watchWait = 10 * time.Second
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 16 << 20
)

// Client makes the platform's calls. It is safe for concurrent use.
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
	return &Client{base: base, client: &http.Client{Transport: transport}}
}

const (
	// maxIdleConnections bounds the kept connections to the platform.
	maxIdleConnections = 8
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
)

// Close closes the kept connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// post makes one call that must be answered within the time.
func post[Answer any](ctx context.Context, c *Client, timeout time.Duration, path string, message any) (Answer, error) {
	var answer Answer
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(message)
	if err != nil {
		return answer, fault.Wrap(err, fault.Internal, "a call to the platform could not be encoded", "report the defect")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer, fault.Wrap(err, fault.Invalid, "the platform's address is malformed", "correct the settings")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return answer, callError(err)
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer[Answer](response)
}

// readAnswer reads a call's answer or failure.
func readAnswer[Answer any](response *http.Response) (Answer, error) {
	var answer Answer
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes))
	if response.StatusCode == http.StatusOK {
		if err := decoder.Decode(&answer); err != nil {
			return answer, fault.Wrap(err, fault.Unknown, "the platform's answer broke off", "read back what was written")
		}
		return answer, nil
	}
	var failure wire.Failure
	if err := decoder.Decode(&failure); err != nil || failure.Kind == "" {
		return answer, fault.New(fault.Unknown, "the platform failed without a reason", "read back what was written")
	}
	return answer, fault.New(failure.Kind, failure.Reason, failure.Remedy)
}

// callError tells a call that was surely not made from one that may have been.
func callError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.Wrap(err, fault.Unavailable, "the platform can't be reached", "try again later")
	}
	return fault.Wrap(err, fault.Unknown, "the platform's answer was lost", "read back what was written")
}
