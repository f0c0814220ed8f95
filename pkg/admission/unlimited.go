package admission

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/request"
)

// Unlimited admits every request immediately. It is the baseline for comparisons
// with other controllers.
type Unlimited struct{}

var _ Controller = Unlimited{}

// Admit admits the request immediately.
func (Unlimited) Admit(context.Context, *request.Request) (Ticket, error) {
	return unlimitedTicket{}, nil
}

// unlimitedTicket is a Ticket that records nothing.
type unlimitedTicket struct{}

// Release does nothing.
func (unlimitedTicket) Release(request.TokenUsage) {}
