package admission

import "amaranthplank.example/amaranthplank/pkg/request"

// Ticket is the permission to run one request.
type Ticket interface {
	// Release ends the request and charges its actual usage.
	Release(usage request.TokenUsage)
}
