package admission

import "amaranthplank.example/amaranthplank/pkg/request"

// Ticket is the permission to run one request.
type Ticket interface {
	// Release ends the request and reports what it used.
	Release(figures request.TokenUsage)
}
