package relay

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/retry"
	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// NoticeReader is implemented by a Protocol whose responses may state something about
// the target itself.
type NoticeReader interface {
	// Notice decodes what the response states about the target of the request. It
	// is the zero value for a response that is not the target's own.
	Notice(targetReq *TargetRequest, response *http.Response) fleet.TargetNotice
}

// maxWithheld bounds the targets of one request that were chosen and then withheld.
// Each of them is left out of the next choice, so more mean that the choice and the
// check disagree.
const maxWithheld = 16

// errWithheld means that the request was not sent, because of what its target stated
// about itself after it had been chosen.
var errWithheld = errors.New("the target accepts no new work since it was chosen")

// send makes one exchange, unless the target's notices withhold the request. They are
// checked before the exchange and once it has a connection, which may take long.
func (a *attempt) send(outgoing *http.Request, reuse target.Reuse) (*http.Response, *target.Trace, error) {
	client := a.call.relay.opts.Client
	gate, ok := a.call.relay.opts.Router.(routing.SendGate)
	if !ok {
		return client.Do(outgoing, reuse)
	}
	check := func() error { return a.checkSend(gate) }
	if err := check(); err != nil {
		return nil, &target.Trace{}, err
	}
	response, trace, err := client.Do(target.WithSendCheck(outgoing, check), reuse)
	if withheld := trace.Withheld(); err != nil && withheld != nil {
		err = withheld
	}
	if reader, ok := a.call.relay.protocol.(NoticeReader); ok && err == nil {
		gate.ObserveNotice(a.target, a.incarnation, reader.Notice(a.newTargetRequest(), response))
	}
	return response, trace, err
}

// checkSend returns an error that wraps errWithheld if nothing may be sent to the
// target. An attempt that its target may have begun goes on there.
func (a *attempt) checkSend(gate routing.SendGate) error {
	if a.phase != retry.Unsent {
		return nil
	}
	if err := gate.CheckSend(a.target, a.incarnation); err != nil {
		return errors.Wrap(errWithheld, err.Error())
	}
	return nil
}

// afterWithheld returns how the request continues after an attempt was withheld. The
// attempt counts neither as one nor as a failure of its target.
func (c *call) afterWithheld() retry.Decision {
	c.retries.CancelAttempt()
	c.result.Attempts--
	switch {
	case c.mayReplaceWithheld():
		return retry.Again
	case c.retries.MayHaveRun():
		return retry.EndUnknown
	}
	return retry.EndNotRun
}

// mayReplaceWithheld counts a withheld target, and reports whether another may be
// chosen.
func (c *call) mayReplaceWithheld() bool {
	c.withheld++
	return c.withheld <= maxWithheld && time.Now().Add(minAttemptTime).Before(c.req.Deadline)
}
