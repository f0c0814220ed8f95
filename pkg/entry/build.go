package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// servicesPrefix is the start of the paths of plain services.
const servicesPrefix = "/services/"

// readBody reads a bounded body.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the body could not be read", "send the whole body")
	}
	if int64(len(body)) > limit {
		return nil, fault.New(fault.Invalid, "the body is too large", "send a smaller body")
	}
	return body, nil
}

// build makes a request of a caller's call.
func build(snapshot *config.Snapshot, r *http.Request, id ident.Request, workspace ident.Workspace, body []byte) (*request.Request, error) {
	req := &request.Request{
		ID: id, Workspace: workspace, Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header, Body: body,
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
	}
	if rest, ok := strings.CutPrefix(r.URL.Path, servicesPrefix); ok {
		name, _, _ := strings.Cut(rest, "/")
		req.Service = ident.Service(name)
		req.Path = strings.TrimPrefix(req.Path, servicesPrefix+name)
	} else if err := readModel(req, body); err != nil {
		return nil, err
	}
	route := snapshot.Route(r.Method, r.URL.Path, req.Model)
	if route == nil {
		return nil, fault.New(fault.NotFound, "no route matches the request", "ask the operators which routes there are")
	}
	req.Route = route.Name
	req.Class = route.Class
	req.Idempotent = route.Idempotent
	knobs := snapshot.Knobs(config.Selector{Workspace: workspace, Route: route.Name, Model: req.Model, Service: req.Service})
	req.Deadline = time.Now().Add(knobs.Retry.Timeout.D())
	return req, nil
}

// readModel reads the parts of a completion's body that the system needs.
func readModel(req *request.Request, body []byte) error {
	var completion target.CompletionRequest
	if err := json.Unmarshal(body, &completion); err != nil {
		return fault.Wrap(err, fault.Invalid, "the body is not a completion request", "send JSON with a model field")
	}
	req.Model = completion.Model
	req.Stream = completion.Stream
	req.MaxOutputTokens = completion.MaxTokens
	return nil
}
