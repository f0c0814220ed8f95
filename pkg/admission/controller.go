package admission

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/request"
)

// Controller admits requests.
type Controller interface {
	// Admit waits until the request may run. It fails with kind Limited or
	// Timeout; nothing was run then. The ticket must be released once.
	Admit(ctx context.Context, req *request.Request) (Ticket, error)
}
