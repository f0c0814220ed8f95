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

// ControlOptions are the dependencies of the configuration and status API.
type ControlOptions struct {
	Host    ident.Host
	Manager *config.Manager
	Applier *config.Applier
	Members membership.View
	// Orders returns the orders to report in the status. It may be nil.
	Orders func() []orders.OrderStatus
	// Usage returns the reporting progress of each shard. It may be nil.
	Usage func(ctx context.Context) ([]usage.ShardStatus, error)
}

// The paths of the configuration and status API.
const (
	// ConfigPath returns the configuration on GET and applies a new one on POST.
	ConfigPath = "/v1/config"
	// StatusPath returns the daemon's status.
	StatusPath = "/v1/status"
	// ExplainPath returns the effective value of a setting and its source.
	ExplainPath = "/v1/explain"
)

// ConfigText is the current configuration in its source text.
type ConfigText struct {
	Revision ident.Revision `json:"revision"`
	Text     string         `json:"text"`
}

// ApplyRequest replaces the configuration of the base revision by a new text.
type ApplyRequest struct {
	// Base is the revision that the text was edited from. Zero creates the first
	// configuration.
	Base ident.Revision `json:"base"`
	Text string         `json:"text"`
}

// ExplainRequest requests the value of a setting that applies to a selector.
type ExplainRequest struct {
	Setting  string
	Selector config.Selector
}

// ServeControl adds the endpoints of the configuration and status API.
func (s *Server) ServeControl(opts ControlOptions) {
	s.Handle("GET "+ConfigPath, opts.readEndpoint(), DecodeEmptyRequest)
	s.Handle("POST "+ConfigPath, opts.applyEndpoint(), decodeApply)
	s.Handle("GET "+StatusPath, opts.statusEndpoint(), DecodeEmptyRequest)
	s.Handle("GET "+ExplainPath, opts.explainEndpoint(), decodeExplain)
}

// errNoConfig is returned before the first configuration is loaded.
var errNoConfig = fault.New(fault.Unavailable, "the daemon has not loaded a configuration yet", "check that the store is reachable, or apply the first configuration with amaranthctl apply -base 0")

// errRequestType is returned if a decoder and its endpoint disagree on the type of
// the request, which is a bug.
var errRequestType = fault.New(fault.Internal, "the call's request has the wrong type", "report this as a bug")

// readEndpoint returns the endpoint that reads the current configuration.
func (o ControlOptions) readEndpoint() endpoint.Endpoint {
	return func(context.Context, any) (any, error) {
		revision, text := o.Manager.Text()
		if revision == 0 {
			return nil, errNoConfig
		}
		return ConfigText{Revision: revision, Text: string(text)}, nil
	}
}

// applyEndpoint returns the endpoint that applies a configuration. It continues if
// the client disconnects, since the change may already be written.
func (o ControlOptions) applyEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		apply, ok := request.(ApplyRequest)
		if !ok {
			return nil, errRequestType
		}
		return o.Applier.Apply(context.WithoutCancel(ctx), apply.Base, []byte(apply.Text))
	}
}

// explainEndpoint returns the endpoint that explains an effective value.
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

// maxApplyBytes bounds the body of an apply request: a text of the store's maximum
// value size, with room for JSON escapes.
const maxApplyBytes = 4 * external.MaxValueBytes

// decodeApply decodes an apply request.
func decodeApply(_ context.Context, r *http.Request) (any, error) {
	var request ApplyRequest
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxApplyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the body is not an apply request", `send {"base": REVISION, "text": "..."}`)
	}
	return request, nil
}

// decodeExplain decodes the setting and the selector from the query.
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
