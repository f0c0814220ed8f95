package relay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/retry"
)

// maxAcceptTime is how long the target of a second attempt may take to refuse the request
// before the first attempt is left for it. Half of the silence timeout bounds it too.
const maxAcceptTime = 250 * time.Millisecond

// sendElsewhere returns the question whether a silent exchange may be left. It is left
// once a second attempt has been sent and was not refused, so that a refusal costs
// nothing that the first target does. An exchange without a connection is left immediately.
func (a *attempt) sendElsewhere(ctx context.Context, w *watchdog) func() (bool, func(bool)) {
	lastEvent := a.lastEvent
	return func() (bool, func(bool)) {
		if w.phase() == retry.Unsent {
			return a.recordSilence(a.mayLeaveUnsent()), nil
		}
		second := a.beginSecond(ctx, lastEvent)
		a.recordSilence(second != nil)
		if second == nil {
			return false, nil
		}
		if !second.awaitRefusal(w) {
			return true, func(left bool) { a.settleSecond(second, left) }
		}
		a.endSecond(second)
		return false, nil
	}
}

// recordSilence counts and logs a decision. It returns the decision.
func (a *attempt) recordSilence(sendElsewhere bool) bool {
	a.call.relay.metrics.silenceDecided(sendElsewhere)
	if !a.silenceLogged {
		a.silenceLogged = true
		a.call.relay.opts.Log.Info("target silent", "request", a.call.req.ID, "target", a.target,
			"after", time.Since(a.began), "sendElsewhere", sendElsewhere)
	}
	return sendElsewhere
}

// mayLeaveUnsent reports whether a request that was not sent can be sent elsewhere.
func (a *attempt) mayLeaveUnsent() bool {
	return a.call.hasAlternative(a.excluded, a.mayPrefill) && a.call.retries.Reserve(retry.Unsent, time.Now())
}

// beginSecond sends the request to another target, or returns nil if none would take it
// or no retry is left. Its prompt is not computed apart.
func (a *attempt) beginSecond(ctx context.Context, lastEvent uint64) *attempt {
	c := a.call
	if !c.hasAlternative(a.excluded, false) {
		return nil
	}
	// A probe must not be sent beside another attempt.
	if probe, err := c.checkGuard(); probe || err != nil || !c.retries.TryHedge(time.Now()) {
		return nil
	}
	state, err := c.relay.opts.Router.Choose(c.req, c.constraints(a.excluded))
	if err != nil {
		c.retries.CancelAttempt()
		return nil
	}
	second := newAttemptAt(c, state, a.excluded)
	second.mayPrefill, second.lastEvent = a.mayPrefill, lastEvent
	second.sent = second.newExchange(ctx)
	go second.exchange(second.sent)
	return second
}

// awaitRefusal reports whether a second attempt fails soon, and sets its error then. It
// returns early if the exchange of the first, which has the watchdog w, is over.
func (a *attempt) awaitRefusal(w *watchdog) bool {
	timer := time.NewTimer(min(maxAcceptTime, w.silence/2))
	defer timer.Stop()
	select {
	case <-a.sent.done:
		a.err = a.refusalOf(a.sent)
	case <-timer.C:
	case <-w.over:
	}
	return a.err != nil
}

// refusalOf returns the failure of an exchange that has ended or whose response is none
// that the caller may get, and nil otherwise.
func (a *attempt) refusalOf(e *exchange) error {
	if e.err != nil {
		return e.err
	}
	switch a.call.relay.protocol.Classify(a.newTargetRequest(), e.response) {
	case ResponseMismatched:
		return discard(e.response, e.trace, retry.Mismatch, errWrongAttempt)
	case ResponseRejected:
		a.observeLoad(e.response)
		return drainRejection(e.response, e.watchdog.cancel)
	case ResponseAmbiguous:
		a.observeLoad(e.response)
		return a.endAmbiguous(e.response, e.watchdog.cancel)
	case ResponseFailed:
		a.observeLoad(e.response)
		return discard(e.response, e.trace, retry.Refused, errRefused)
	default:
		return nil
	}
}

// settleSecond lets a second attempt take this one's place if the target was left, and
// ends it otherwise.
func (a *attempt) settleSecond(second *attempt, left bool) {
	if left {
		a.successor = second
		return
	}
	e := second.sent
	e.watchdog.cancel(nil)
	<-e.done
	if e.err == nil {
		_ = discard(e.response, e.trace, retry.CallerGone, errHedgeLost)
	}
	second.err = &exchangeError{failure: retry.CallerGone, cause: errHedgeLost}
	a.endSecond(second)
}

// endSecond records that a second attempt has ended while the first continues.
func (a *attempt) endSecond(second *attempt) {
	c, failure := a.call, failureOf(second.err)
	second.sent.watchdog.stop()
	if second.sent.err == nil {
		second.advanceTo(retry.Answering)
	}
	if errors.Is(second.err, errWithheld) {
		c.retries.CancelAttempt()
	} else {
		c.retries.RecordFailure(second.phase, failure)
		c.relay.metrics.exchangeFailed(second.phase, failure, retry.Again)
	}
	c.relay.opts.Router.Done(c.req, second.target)
	c.reportResult(second, second.err)
	second.reportWork(second.err)
	a.seconds = append(a.seconds, second)
}

// handOver makes the successor the request's next attempt, and records how this one
// ended.
func (a *attempt) handOver(err error) {
	c := a.call
	c.next = a.successor
	if errors.Is(err, errWithheld) {
		c.retries.CancelAttempt()
		c.result.Attempts--
		return
	}
	failure := failureOf(err)
	c.retries.RecordFailure(a.phase, failure)
	c.relay.metrics.exchangeFailed(a.phase, failure, retry.Again)
}

// reportSeconds counts the second attempts that ended before this one, and reports them to
// the crash guard.
func (c *call) reportSeconds(a *attempt) {
	for _, second := range a.seconds {
		if !errors.Is(second.err, errWithheld) {
			c.result.Attempts++
		}
		c.reportToGuard(second, second.err)
	}
}
