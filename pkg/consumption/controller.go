package consumption

import (
	"context"
	"sync"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Controller counts what a controller admits.
type Controller struct {
	next     admission.Controller
	exchange *Exchange
}

var _ admission.Controller = (*Controller)(nil)

// Count returns a controller that counts what next admits.
func (e *Exchange) Count(next admission.Controller) *Controller {
	return &Controller{next: next, exchange: e}
}

// Admit waits until the request may run, as the next controller does.
func (c *Controller) Admit(ctx context.Context, req *request.Request) (admission.Ticket, error) {
	granted, err := c.next.Admit(ctx, req)
	if err != nil {
		return nil, err
	}
	c.exchange.begin(req.Workspace)
	return &ticket{next: granted, exchange: c.exchange, workspace: req.Workspace}, nil
}

// ticket counts the tokens of one request when it is released.
type ticket struct {
	next      admission.Ticket
	exchange  *Exchange
	workspace ident.Workspace
	once      sync.Once
}

// Release gives the leave back and counts what the request used.
func (t *ticket) Release(figures request.Figures) {
	t.once.Do(func() { t.exchange.finish(t.workspace, figures.PromptTokens+figures.OutputTokens) })
	t.next.Release(figures)
}
