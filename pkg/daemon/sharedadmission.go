package daemon

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/dissemination"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// sharedAdmission admits requests and tells the other daemons what they use, so
// that limits hold over the fleet.
type sharedAdmission struct {
	inner   admission.Controller
	spread  *dissemination.Manager
	running *runningShare
}

var _ admission.Controller = (*sharedAdmission)(nil)

// Admit waits until the request may run.
func (a *sharedAdmission) Admit(ctx context.Context, req *request.Request) (admission.Ticket, error) {
	ticket, err := a.inner.Admit(ctx, req)
	if err != nil {
		return nil, err
	}
	a.spread.Consume(req.Workspace, dissemination.Use{Requests: 1})
	a.running.change(req.Workspace, 1)
	return &sharedTicket{Ticket: ticket, admission: a, workspace: req.Workspace}, nil
}

// sharedTicket is the leave to run one request.
type sharedTicket struct {
	admission.Ticket

	admission *sharedAdmission
	workspace ident.Workspace
}

// Release gives the leave back and tells what was used.
func (t *sharedTicket) Release(figures request.TokenUsage) {
	t.Ticket.Release(figures)
	t.admission.running.change(t.workspace, -1)
	if tokens := figures.PromptTokens + figures.OutputTokens; tokens > 0 {
		t.admission.spread.Consume(t.workspace, dissemination.Use{Tokens: tokens})
	}
}
