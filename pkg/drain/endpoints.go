package drain

import (
	"context"

	"github.com/go-kit/kit/endpoint"
)

// StopEndpoint asks for a planned stop and answers the Status.
func (s *Server) StopEndpoint() endpoint.Endpoint {
	return func(context.Context, any) (any, error) {
		s.Stop()
		return s.Status(), nil
	}
}

// StatusEndpoint answers the Status.
func (s *Server) StatusEndpoint() endpoint.Endpoint {
	return func(context.Context, any) (any, error) { return s.Status(), nil }
}
