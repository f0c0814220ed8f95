package relay

import (
	"net/http"
	"slices"
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
//
// No connection carries a request twice. What a target writes bears the request's ID, which
// doesn't distinguish the answer to a second send from a late copy of the one to the first.
func (a *attempt) send(outgoing *http.Request, reuse target.Reuse) (*http.Response, *target.Trace, error) {
	client := a.call.relay.opts.Client
	if a.call.sentBefore(a.address) {
		reuse = target.ReuseNone
	}
	gate, ok := a.call.relay.opts.Router.(routing.SendGate)
	if !ok {
		return client.Do(outgoing, reuse)
	}
	send, err := gate.BeginSend(a.target, a.incarnation, a.phase != retry.Unsent)
	if err != nil {
		return nil, &target.Trace{}, errors.Wrap(errWithheld, err.Error())
	}
	sentAt := time.Now()
	response, trace, err := client.Do(target.WithSendCheck(outgoing, send.Check), reuse)
	if withheld := trace.Withheld(); err != nil && withheld != nil {
		err = errors.Wrap(errWithheld, withheld.Error())
	}
	if reader, ok := a.call.relay.protocol.(NoticeReader); ok && err == nil {
		a.notice = reader.Notice(a.newTargetRequest(), response)
		gate.ObserveNotice(a.target, a.incarnation, a.notice)
		gate.ObserveLimit(a.target, a.incarnation, sentAt, a.notice.Limit)
	}
	send.End(a.evidenceOf(response, err))
	return response, trace, err
}

// sentBefore records that the request is sent to an address, and reports whether it was sent
// there before. It may be called concurrently.
func (c *call) sentBefore(address string) bool {
	c.sentMu.Lock()
	defer c.sentMu.Unlock()
	if slices.Contains(c.sentTo, address) {
		return true
	}
	c.sentTo = append(c.sentTo, address)
	return false
}

// evidenceOf returns what an exchange shows about whether its target is there.
func (a *attempt) evidenceOf(response *http.Response, err error) routing.Evidence {
	switch {
	case err != nil && target.Refused(err):
		return routing.EvidenceRefused
	case err != nil:
		return routing.EvidenceUnreliable
	case response.StatusCode != http.StatusMisdirectedRequest:
		return routing.EvidencePresent
	case a.call.relay.protocol.Classify(a.newTargetRequest(), response) == ResponseMismatched:
		return routing.EvidencePresent
	}
	return routing.EvidenceMisdirected
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
	return c.withheld <= maxWithheld && time.Now().Add(minAttemptTime).Before(c.deadline.time())
}
