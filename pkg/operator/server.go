package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

// Server routes operators' requests. It is an http.Handler.
type Server struct {
	mux *http.ServeMux
	// costly holds a value for each costly request that runs.
	costly chan struct{}
}

// maxCostly bounds the requests for metrics and profiles that run at the same time, whose
// answers are built in memory.
const maxCostly = 2

// Readiness returns nil if the daemon may receive callers' requests, or else the
// reason why not.
type Readiness func() error

// New returns a server for metrics, health and readiness checks, and profiles.
func New(gatherer prometheus.Gatherer, ready Readiness) *Server {
	s := &Server{mux: http.NewServeMux(), costly: make(chan struct{}, maxCostly)}
	s.mux.Handle("GET /metrics", s.limited(promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{})))
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	s.mux.Handle("/debug/pprof/", s.limited(http.HandlerFunc(pprof.Index)))
	s.mux.Handle("/debug/pprof/profile", s.limited(http.HandlerFunc(pprof.Profile)))
	s.mux.Handle("/debug/pprof/trace", s.limited(http.HandlerFunc(pprof.Trace)))
	return s
}

// limited refuses requests beyond maxCostly.
func (s *Server) limited(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.costly <- struct{}{}:
			defer func() { <-s.costly }()
			handler.ServeHTTP(w, r)
		default:
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many requests for metrics and profiles at the same time", http.StatusServiceUnavailable)
		}
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Handle serves an endpoint under a pattern such as "POST /v1/config". The
// decoder decodes the endpoint's request; the response is encoded as JSON.
func (s *Server) Handle(pattern string, e endpoint.Endpoint, decode kithttp.DecodeRequestFunc) {
	s.mux.Handle(pattern, kithttp.NewServer(e, decode, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(encodeError)))
}

// DecodeEmptyRequest is the decoder of endpoints that take no input.
func DecodeEmptyRequest(context.Context, *http.Request) (any, error) { return struct{}{}, nil }

// ErrorBody is the body of every error response of the operator API.
type ErrorBody struct {
	Kind    fault.Kind `json:"kind"`
	Message string     `json:"message"`
}

// encodeError responds with the error's kind and message.
func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	kind := fault.KindOf(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(kind.HTTPStatus())
	// A failed write means that the connection is closed, so the error can't be
	// reported to the client.
	_ = json.NewEncoder(w).Encode(ErrorBody{Kind: kind, Message: err.Error()})
}
