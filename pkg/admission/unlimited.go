package admission

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/request"
)

// UnlimitedController admits every request immediately. It is the baseline for
// comparisons with other controllers.
type UnlimitedController struct{}

var _ Controller = UnlimitedController{}

// Admit admits the request immediately.
func (UnlimitedController) Admit(context.Context, *request.Request) (Ticket, error) {
	return unlimitedTicket{}, nil
}

// unlimitedTicket is a Ticket that records nothing.
type unlimitedTicket struct{}

// Release does nothing.
func (unlimitedTicket) Release(request.TokenUsage) {}
