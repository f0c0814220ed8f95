package admission

import "amaranthplank.example/amaranthplank/pkg/request"

// Ticket is the leave to run one request.
type Ticket interface {
	// Release gives the leave back with what the request used.
	Release(figures request.TokenUsage)
}
