package admission

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/request"
)

// Controller decides when requests may run.
type Controller interface {
	// Admit waits until the request may run. It fails with kind Limited or
	// Timeout, and the request has not run then. The ticket must be released
	// exactly once.
	Admit(ctx context.Context, req *request.Request) (Ticket, error)
}
