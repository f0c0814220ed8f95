package relay

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/retry"
)

// PromptGuard refuses requests whose prompts crash targets.
type PromptGuard interface {
	// Check returns an error if the request must not be sent to a target.
	Check(req *request.Request) error
	// Answered records that a target answered the request completely, or has done so
	// for long enough that the prompt can't have crashed it.
	Answered(req *request.Request)
	// Lost records that the connection to a target was lost before it had answered
	// the request, or shortly after it had begun to.
	Lost(req *request.Request, name ident.Target, address string)
}

// answerStart is the time after the first event of an answer in which the loss of the
// connection is taken for a crash at its beginning.
const answerStart = time.Second

// checkPrompt returns an error if the request must not be sent to a target. It is
// called before each send.
func (c *call) checkPrompt() error {
	if guard := c.relay.opts.PromptGuard; guard != nil && c.req.Model != "" {
		return guard.Check(c.req)
	}
	return nil
}

// reportPrompt reports an attempt's result to the prompt guard.
func (c *call) reportPrompt(a *attempt, err error) {
	guard := c.relay.opts.PromptGuard
	if guard == nil {
		return
	}
	switch {
	case err == nil && (c.result.Events > 0 || !c.req.Stream):
		if c.req.Model != "" {
			guard.Answered(c.req)
		}
	case err == nil:
		// A stream without events may have been cut off before its first one.
		if a.phase == retry.Streaming {
			guard.Lost(c.req, a.target, a.address)
		}
	case failureOf(err) == retry.ConnectionLost && a.phase != retry.Unsent && !c.wellBegun(a):
		guard.Lost(c.req, a.target, a.address)
	}
}

// reportBegun reports to the prompt guard once that an answer goes on after answerStart.
// Long answers would otherwise clear their prompts' parts only at their end.
func (a *attempt) reportBegun() {
	guard := a.call.relay.opts.PromptGuard
	if guard != nil && a.call.req.Model != "" && !a.call.promptCleared && a.call.wellBegun(a) {
		a.call.promptCleared = true
		guard.Answered(a.call.req)
	}
}

// wellBegun reports whether an attempt wrote events of its answer for longer than
// answerStart.
func (c *call) wellBegun(a *attempt) bool {
	began := c.result.FirstAt
	if began.Before(a.began) {
		began = a.began
	}
	return c.result.LastAt.Sub(began) > answerStart
}
