package drain

import (
	"context"

	"github.com/go-kit/kit/endpoint"
)

// StopEndpoint returns an endpoint that requests a graceful shutdown and responds with
// the Status.
func (s *Server) StopEndpoint() endpoint.Endpoint {
	return func(context.Context, any) (any, error) {
		s.Stop()
		return s.Status(), nil
	}
}

// StatusEndpoint returns an endpoint that responds with the Status.
func (s *Server) StatusEndpoint() endpoint.Endpoint {
	return func(context.Context, any) (any, error) { return s.Status(), nil }
}
