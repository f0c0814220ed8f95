package routing

import (
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// SendGate is implemented by routers that decide on what targets state about
// themselves in their answers. It is asked when a request is sent, since that may be
// long after the target was chosen.
type SendGate interface {
	// CheckSend returns why nothing new may be sent to a target's incarnation now,
	// or nil.
	CheckSend(target ident.Target, incarnation ident.Incarnation) error
	// ObserveNotice records what a target's incarnation stated in an answer.
	ObserveNotice(target ident.Target, incarnation ident.Incarnation, notice fleet.TargetNotice)
}

var _ SendGate = (*CombinedRouter)(nil)

// CheckSend checks the target's notices.
func (c *CombinedRouter) CheckSend(target ident.Target, incarnation ident.Incarnation) error {
	return c.Models.opts.notices.check(target, incarnation)
}

// ObserveNotice records the notice for service calls and model requests alike.
func (c *CombinedRouter) ObserveNotice(target ident.Target, incarnation ident.Incarnation, notice fleet.TargetNotice) {
	c.Models.opts.notices.observe(target, incarnation, notice)
}
