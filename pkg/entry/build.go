package entry

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// maxIdempotencyKey bounds an idempotency key in bytes.
const maxIdempotencyKey = 256

// build makes a request of a caller's call and what it says of itself.
func build(snapshot *config.Snapshot, r *http.Request, id ident.Request, from caller, d *Description, body []byte) (*request.Request, error) {
	if len(d.IdempotencyKey) > maxIdempotencyKey {
		return nil, fault.New(fault.Invalid, "the idempotency key is too long", "send a key of at most 256 bytes")
	}
	route := snapshot.Route(r.Host, r.Method, r.URL.Path, d.Model)
	if route == nil {
		return nil, errNoRoute
	}
	if from.workspace == "" && !route.Open {
		return nil, errNoKey
	}
	req := &request.Request{
		ID: id, Workspace: from.workspace, Route: route.Name, Class: route.Class, Idempotent: route.Idempotent,
		Model: d.Model, Service: d.Service, IdempotencyKey: d.IdempotencyKey, After: d.After,
		Stream: d.Stream || route.Stream, PromptTokens: d.PromptTokens, MaxOutputTokens: d.MaxOutputTokens,
		Prefix: d.Prefix, PartEnds: d.Ends, Method: r.Method, Host: r.Host, Path: d.Path, Header: r.Header, Body: body,
		Resumable: route.Resumable, MaxAttempts: route.Attempts, Urgency: route.Urgency,
		FirstPart: route.FirstPart.D(), Gap: route.Gap.D(),
	}
	if workspace := snapshot.Workspace(from.workspace); workspace != nil && workspace.Urgency != nil {
		req.Urgency = *workspace.Urgency
	}
	if route.Host != "" {
		share := route.Pick(rand.Float64())
		req.Model, req.Service = share.Model, share.Service
	}
	if err := checkModel(snapshot, req.Model); err != nil {
		return nil, err
	}
	knobs := snapshot.Knobs(config.Selector{Workspace: from.workspace, Route: route.Name, Model: req.Model, Service: req.Service})
	req.Deadline = time.Now().Add(timeoutOf(d.Wait, route, &knobs.Retry))
	return req, nil
}

// checkModel refuses a model that the configuration does not have, which no
// retry can cure.
func checkModel(snapshot *config.Snapshot, model ident.Model) error {
	models := snapshot.Document.Models
	if model == "" || slices.ContainsFunc(models, func(m config.Model) bool { return m.Name == model }) {
		return nil
	}
	names := make([]string, 0, len(models))
	for i := range models {
		names = append(names, string(models[i].Name))
	}
	return fault.New(fault.NotFound, "there is no such model", "use one of: "+strings.Join(names, ", "))
}

// errNoRoute tells the caller that the configuration has no such route.
var errNoRoute = fault.New(fault.NotFound, "no route matches the request", "ask the operators which routes there are")

// timeoutOf returns how long a request is kept: as long as the caller waits,
// within the bounds of the route and of the knobs.
func timeoutOf(wait time.Duration, route *config.Route, knobs *config.RetryKnobs) time.Duration {
	if wait <= 0 {
		wait = knobs.Timeout.D()
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout.D())
	}
	return min(wait, knobs.MaxTimeout.D())
}
