package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/orders"
	"amaranthplank.example/amaranthplank/pkg/usage"
)

// ControlOptions are what the calls on the control state work on.
type ControlOptions struct {
	Host    ident.Host
	Manager *config.Manager
	Applier *config.Applier
	Members membership.View
	// Orders returns the orders that this daemon carries out. It may be nil.
	Orders func() []orders.OrderStatus
	// Usage returns how far each shard's reports are. It may be nil.
	Usage func(ctx context.Context) ([]usage.ShardStatus, error)
}

// The paths of the calls on the control state.
const (
	// ConfigPath reads the configuration, or applies a new one.
	ConfigPath = "/v1/config"
	// StatusPath reads the daemon's status.
	StatusPath = "/v1/status"
	// ExplainPath tells an effective value and its source.
	ExplainPath = "/v1/explain"
)

// ConfigText is the configuration in force as it was written.
type ConfigText struct {
	Revision ident.Revision `json:"revision"`
	Text     string         `json:"text"`
}

// ApplyRequest asks to put a text in the place of the base revision.
type ApplyRequest struct {
	// Base is the revision that the text was edited from; zero writes the
	// first.
	Base ident.Revision `json:"base"`
	Text string         `json:"text"`
}

// ExplainRequest asks for a setting's value for what the selector names.
type ExplainRequest struct {
	Setting  string
	Selector config.Selector
}

// ServeControl serves the calls on the control state.
func (s *Server) ServeControl(opts ControlOptions) {
	s.Handle("GET "+ConfigPath, opts.readEndpoint(), NoRequest)
	s.Handle("POST "+ConfigPath, opts.applyEndpoint(), decodeApply)
	s.Handle("GET "+StatusPath, opts.statusEndpoint(), NoRequest)
	s.Handle("GET "+ExplainPath, opts.explainEndpoint(), decodeExplain)
}

// errNoConfig says that nothing was loaded yet.
var errNoConfig = fault.New(fault.Unavailable, "no configuration was loaded yet", "look at the store, or apply the first with -base 0")

// errRequestType says that a decoder and its endpoint don't fit.
var errRequestType = fault.New(fault.Internal, "the call's request has the wrong type", "report the defect")

// readEndpoint returns the configuration in force.
func (o ControlOptions) readEndpoint() endpoint.Endpoint {
	return func(context.Context, any) (any, error) {
		revision, text := o.Manager.Text()
		if revision == 0 {
			return nil, errNoConfig
		}
		return ConfigText{Revision: revision, Text: string(text)}, nil
	}
}

// applyEndpoint applies a configuration. A caller that goes away does not stop
// what was begun, since the change may stand already.
func (o ControlOptions) applyEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		apply, ok := request.(ApplyRequest)
		if !ok {
			return nil, errRequestType
		}
		return o.Applier.Apply(context.WithoutCancel(ctx), apply.Base, []byte(apply.Text))
	}
}

// explainEndpoint tells an effective value and its source.
func (o ControlOptions) explainEndpoint() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		explain, ok := request.(ExplainRequest)
		if !ok {
			return nil, errRequestType
		}
		snapshot := o.Manager.Current()
		if snapshot == nil {
			return nil, errNoConfig
		}
		return snapshot.Explain(explain.Setting, explain.Selector, time.Now())
	}
}

// maxApplyBytes bounds the body of an apply call: a text of the store's largest
// value, with room for its escapes in JSON.
const maxApplyBytes = 4 * external.MaxValueBytes

// decodeApply reads an apply call.
func decodeApply(_ context.Context, r *http.Request) (any, error) {
	var request ApplyRequest
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxApplyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the body is not an apply request", `send {"base": REVISION, "text": "..."}`)
	}
	return request, nil
}

// decodeExplain reads the setting and the selector from the query.
func decodeExplain(_ context.Context, r *http.Request) (any, error) {
	query := r.URL.Query()
	return ExplainRequest{
		Setting: query.Get("setting"),
		Selector: config.Selector{
			Workspace: ident.Workspace(query.Get("workspace")), Route: ident.Route(query.Get("route")),
			Model: ident.Model(query.Get("model")), Service: ident.Service(query.Get("service")),
			FailureDomain: ident.FailureDomain(query.Get("failureDomain")),
		},
	}, nil
}
