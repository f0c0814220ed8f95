package daemon

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/dissemination"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// sharedAdmission admits requests and publishes their consumption to the other
// daemons, so that limits apply to the whole fleet.
type sharedAdmission struct {
	inner        admission.Controller
	disseminator *dissemination.Manager
	running      *runningCounts
}

var _ admission.Controller = (*sharedAdmission)(nil)

// Admit waits until the request may run.
func (a *sharedAdmission) Admit(ctx context.Context, req *request.Request) (admission.Ticket, error) {
	ticket, err := a.inner.Admit(ctx, req)
	if err != nil {
		return nil, err
	}
	a.disseminator.AddConsumption(req.Workspace, dissemination.Consumption{Requests: 1})
	a.running.add(req.Workspace, 1)
	return &sharedTicket{Ticket: ticket, admission: a, workspace: req.Workspace}, nil
}

// sharedTicket is the permission to run one request.
type sharedTicket struct {
	admission.Ticket

	admission *sharedAdmission
	workspace ident.Workspace
}

// Release returns the permission and publishes the tokens that were used.
func (t *sharedTicket) Release(usage request.TokenUsage) {
	t.Ticket.Release(usage)
	t.admission.running.add(t.workspace, -1)
	if tokens := usage.PromptTokens + usage.OutputTokens; tokens > 0 {
		t.admission.disseminator.AddConsumption(t.workspace, dissemination.Consumption{Tokens: tokens})
	}
}
