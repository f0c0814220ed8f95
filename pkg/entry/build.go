package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/target"
)

const (
	// servicesPrefix is the start of the paths of plain services.
	servicesPrefix = "/services/"
	// maxIdempotencyKey bounds an idempotency key in bytes.
	maxIdempotencyKey = 256
)

// build makes a request of a caller's call.
func build(snapshot *config.Snapshot, r *http.Request, id ident.Request, from caller, body []byte) (*request.Request, error) {
	req := &request.Request{
		ID: id, Workspace: from.workspace, Method: r.Method, Path: targetPath(r.URL, ""), Header: r.Header, Body: body,
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
	}
	if len(req.IdempotencyKey) > maxIdempotencyKey {
		return nil, fault.New(fault.Invalid, "the idempotency key is too long", "send a key of at most 256 bytes")
	}
	if rest, ok := strings.CutPrefix(r.URL.Path, servicesPrefix); ok {
		name, _, _ := strings.Cut(rest, "/")
		req.Service = ident.Service(name)
		req.Path = targetPath(r.URL, servicesPrefix+name)
	} else if err := readModel(req, body); err != nil {
		return nil, err
	}
	route := snapshot.Route(r.Method, r.URL.Path, req.Model)
	if route == nil {
		return nil, fault.New(fault.NotFound, "no route matches the request", "ask the operators which routes there are")
	}
	if from.workspace == "" && !route.Open {
		return nil, errNoKey
	}
	req.Route = route.Name
	req.Class = route.Class
	req.Idempotent = route.Idempotent
	knobs := snapshot.Knobs(config.Selector{Workspace: from.workspace, Route: route.Name, Model: req.Model, Service: req.Service})
	timeout, err := timeoutOf(r.Header.Get(HeaderDeadline), &knobs.Retry)
	req.Deadline = time.Now().Add(timeout)
	return req, err
}

// timeoutOf returns how long the caller waits, within the bounds.
func timeoutOf(text string, knobs *config.RetryKnobs) (time.Duration, error) {
	if text == "" {
		return knobs.Timeout.D(), nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		return 0, fault.New(fault.Invalid, "the deadline is malformed", "send "+HeaderDeadline+" as a whole number of milliseconds above zero")
	}
	return min(time.Duration(millis)*time.Millisecond, knobs.MaxTimeout.D()), nil
}

// readModel reads the parts of a completion's body that the system needs.
func readModel(req *request.Request, body []byte) error {
	var completion target.CompletionRequest
	if err := json.Unmarshal(body, &completion); err != nil {
		return fault.New(fault.Invalid, "the body is not a completion request", "send JSON with a model field")
	}
	req.Model = completion.Model
	req.Stream = completion.Stream
	req.MaxOutputTokens = completion.OutputLimit()
	req.PromptTokens = completion.PromptTokens()
	req.Prefix = completion.Blocks()
	return nil
}
