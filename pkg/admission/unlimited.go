package admission

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/request"
)

// Unlimited admits every request at once. It is the baseline that other
// controllers are measured beside.
type Unlimited struct{}

var _ Controller = Unlimited{}

// Admit admits the request.
func (Unlimited) Admit(context.Context, *request.Request) (Ticket, error) {
	return unlimitedTicket{}, nil
}

// unlimitedTicket holds nothing.
type unlimitedTicket struct{}

// Release does nothing.
func (unlimitedTicket) Release(request.TokenUsage) {}
