package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net/http"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/operator"
	"amaranthplank.example/amaranthplank/pkg/responsecheck"
)

// maxResponseBytes bounds a daemon's response.
const maxResponseBytes = 16 << 20

// defaultOperator is the default base URL of a daemon's operator address.
const defaultOperator = "http://127.0.0.1:9090"

// client sends requests to one daemon's operator address.
type client struct {
	base string
}

// declare adds the flag for the daemon's operator address.
func (c *client) declare(flags *flag.FlagSet) {
	flags.StringVar(&c.base, "operator", defaultOperator, "base URL of a daemon's operator address")
}

// call sends one request and decodes the body of the response into result. An error
// that the daemon sent keeps its kind; if the response is lost, the kind is Unknown.
func (c *client) call(ctx context.Context, env Env, method, path string, body, result any) error {
	var payload bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&payload).Encode(body); err != nil {
			return err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, &payload)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "the operator address is malformed", "check -operator")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := env.Client.Do(request)
	if err != nil {
		return fault.Wrap(err, fault.Unknown, "the daemon did not respond", "check -operator, or use another daemon")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return readError(response)
	}
	if err := responsecheck.DecodeJSON(response.Body, maxResponseBytes, result); err != nil {
		return fault.Wrap(err, fault.Unknown, "the daemon's response can't be decoded", "use the amaranthctl of the daemon's version")
	}
	return nil
}

// readError returns the error that the daemon sent.
func readError(response *http.Response) error {
	var body operator.ErrorBody
	if err := responsecheck.DecodeJSON(response.Body, maxResponseBytes, &body); err != nil || body.Kind == "" {
		return fault.New(fault.Internal, "the daemon responded with "+response.Status, "check the daemon's log")
	}
	return &remoteError{body: body}
}

// remoteError is an error that a daemon sent.
type remoteError struct {
	body operator.ErrorBody
}

// Error returns the daemon's message.
func (e *remoteError) Error() string { return e.body.Message }

// exitCodeOf returns the exit code for an error.
func exitCodeOf(err error) ExitCode {
	kind := fault.KindOf(err)
	var remote *remoteError
	if errors.As(err, &remote) {
		kind = remote.body.Kind
	}
	switch kind {
	case fault.Conflict:
		return ExitConflict
	case fault.Unknown:
		return ExitUnknown
	default:
		return ExitFailed
	}
}

// printJSON prints a value as indented JSON.
func printJSON(env Env, value any) {
	text, err := json.MarshalIndent(value, "", "  ")
	if err == nil {
		env.printf("%s", text)
	}
}
