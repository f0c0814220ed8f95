package entry

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
const maxIdempotencyKeyBytes = 256

// buildRequest matches an HTTP request to a route and combines its description
// with the settings of the route and the workspace.
func buildRequest(snapshot *config.Snapshot, r *http.Request, id ident.Request, c caller, d *Description, body request.Body) (*request.Request, error) {
	if len(d.IdempotencyKey) > maxIdempotencyKeyBytes {
		return nil, fault.New(fault.Invalid, "the idempotency key is too long", "send a key of at most 256 bytes")
	}
	route := snapshot.Route(r.Host, r.Method, r.URL.Path, d.Model)
	if route == nil {
		return nil, errNoRoute
	}
	if c.workspace == "" && !route.Open {
		return nil, errInvalidKey
	}
	req := &request.Request{
		ID: id, Workspace: c.workspace, Route: route.Name, Class: route.Class, Idempotent: route.Idempotent,
		Model: d.Model, Service: d.Service, IdempotencyKey: d.IdempotencyKey, LastEventID: d.LastEventID, BegunBy: d.BegunBy,
		Stream: d.Stream || route.Stream, PromptTokens: d.PromptTokens, MaxOutputTokens: d.MaxOutputTokens,
		Prefix: d.Prefix, PartEnds: d.PartEnds, PartIDs: d.PartIDs, Method: r.Method, Host: r.Host, Path: d.Path, Header: r.Header, Body: body,
		Resumable: route.Resumable, MaxAttempts: route.Attempts, Urgency: route.Urgency,
		FirstPart: route.FirstPart.D(), TokenGap: route.TokenGap.D(),
	}
	if workspace := snapshot.Workspace(c.workspace); workspace != nil && workspace.Urgency != nil {
		req.Urgency = *workspace.Urgency
	}
	if route.Host != "" {
		share := route.Pick(drawFor(req))
		req.Model, req.Service = share.Model, share.Service
	}
	if err := checkModel(snapshot, req.Model); err != nil {
		return nil, err
	}
	knobs := snapshot.Knobs(config.Selector{Workspace: c.workspace, Route: route.Name, Model: req.Model, Service: req.Service})
	req.Deadline = time.Now().Add(requestTimeout(d.Timeout, route, &knobs.Retry))
	return req, nil
}

// drawFor returns a number in [0,1) that is the same for all tries of a caller at one stream, so
// that a split route sends them to the same model or service.
func drawFor(req *request.Request) float64 {
	stream := cmp.Or(req.BegunBy, req.ID)
	return float64(xxhash.Sum64String(string(stream))>>11) / (1 << 53)
}

// checkModel refuses a model that is not configured. The error is not retryable.
func checkModel(snapshot *config.Snapshot, model ident.Model) error {
	models := snapshot.Document.Models
	if model == "" || slices.ContainsFunc(models, func(m config.Model) bool { return m.Name == model }) {
		return nil
	}
	names := make([]string, 0, len(models))
	for i := range models {
		names = append(names, string(models[i].Name))
	}
	return fault.New(fault.NotFound, "the model does not exist", "use one of: "+strings.Join(names, ", "))
}

// errNoRoute is returned if no configured route matches the request.
var errNoRoute = fault.New(fault.NotFound, "no route matches the request", "ask the operators which routes there are")

// requestTimeout returns the request's timeout: how long the caller waits, or
// knobs.Timeout if that is unknown, capped by the route's timeout and
// knobs.MaxTimeout.
func requestTimeout(wait time.Duration, route *config.Route, knobs *config.RetryKnobs) time.Duration {
	if wait <= 0 {
		wait = knobs.Timeout.D()
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout.D())
	}
	return min(wait, knobs.MaxTimeout.D())
}
