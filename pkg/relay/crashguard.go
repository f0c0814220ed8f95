package relay

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/retry"
)

// CrashGuard refuses requests that crash targets, or whose prompts do.
type CrashGuard interface {
	// Check returns an error if the request must not be sent to a target. It reports
	// whether this send is a probe of a request that is refused otherwise: it must
	// reach one target only.
	Check(req *request.Request) (probe bool, err error)
	// Answered records that a target answered the request completely, or has done so
	// for long enough that the prompt can't have crashed it.
	Answered(req *request.Request)
	// Lost records that the connection to a target was lost before it had answered
	// the request, or shortly after it had begun to. The channel receives whether the
	// target has ended, soon; it is nil if that is not examined. await is set if the
	// request may be refused if so.
	Lost(req *request.Request, name ident.Target, address string) (ended <-chan bool, await bool)
}

// answerStart is the time after the first event of an answer in which the loss of the
// connection is taken for a crash at its beginning.
const answerStart = time.Second

// checkSend returns an error if the request must not be sent to a target. It is
// called before each send.
func (c *call) checkSend() error {
	probe, err := c.checkGuard()
	// A prompt that is computed apart would reach a second target.
	c.prefilled = c.prefilled || probe
	return err
}

// checkGuard is CrashGuard.Check, if there is a guard.
func (c *call) checkGuard() (probe bool, err error) {
	guard := c.relay.opts.CrashGuard
	if guard == nil {
		return false, nil
	}
	return guard.Check(c.req)
}

// lostAtStart reports whether an attempt failed as at a target that ends when it begins
// to run the request.
func (c *call) lostAtStart(a *attempt, failure retry.Failure) bool {
	return failure == retry.ConnectionLost && a.phase != retry.Unsent && !c.wellBegun(a)
}

// reportToGuard reports an attempt's result to the crash guard.
func (c *call) reportToGuard(a *attempt, err error) {
	guard := c.relay.opts.CrashGuard
	if guard == nil {
		return
	}
	switch {
	case err == nil && (c.result.Events > 0 || !c.req.Stream):
		guard.Answered(c.req)
	case err == nil:
		// A stream without events may have been cut off before its first one.
		if a.phase == retry.Streaming {
			c.losses.add(guard.Lost(c.req, a.target, a.address))
		}
	case c.lostAtStart(a, failureOf(err)):
		c.losses.add(guard.Lost(c.req, a.target, a.address))
	}
}

// reportBegun reports to the crash guard once that an answer continues after answerStart.
// Long answers would otherwise clear their prompts' parts only at their end.
func (a *attempt) reportBegun() {
	guard := a.call.relay.opts.CrashGuard
	if guard != nil && !a.call.guardCleared && a.call.wellBegun(a) {
		a.call.guardCleared = true
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
