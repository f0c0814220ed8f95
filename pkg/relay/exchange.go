package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/retry"
	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// maxRejectionBytes bounds how much of a rejection's body is read.
const maxRejectionBytes = 4 << 10

// exchange is a request that is sent to a target.
type exchange struct {
	watchdog *watchdog
	response *http.Response
	trace    *target.Trace
	err      error
	// done is closed once the response or the error is known.
	done chan struct{}
}

// newExchange returns an exchange in which nothing was sent.
func (a *attempt) newExchange(ctx context.Context) *exchange {
	return &exchange{watchdog: a.startWatchdog(ctx), done: make(chan struct{})}
}

// sendFirst sends the request, unless that was done in advance, and relays the response.
func (a *attempt) sendFirst(ctx context.Context) error {
	e := a.sent
	if e == nil {
		e = a.newExchange(ctx)
		a.exchange(e)
	}
	defer e.watchdog.stop()
	<-e.done
	if e.err != nil {
		return e.err
	}
	a.advanceTo(retry.Answering)
	return a.handleResponse(e.watchdog, e.response, e.trace)
}

// exchange sends the request and waits for the head of the response. A request of which nothing was
// sent, since its kept connection had ended, is sent on a new one.
func (a *attempt) exchange(e *exchange) {
	defer close(e.done)
	reuse := target.ReuseRecent
	if a.call.req.Idempotent {
		reuse = target.ReuseAny
	}
	a.exchangeOn(e, reuse)
	if e.err != nil && e.staleUnsent() {
		a.exchangeOn(e, target.ReuseNone)
	}
}

// exchangeOn makes the exchange on a connection that may be used for it.
func (a *attempt) exchangeOn(e *exchange, reuse target.Reuse) {
	ctx := e.watchdog.ctx
	outgoing, err := a.call.relay.protocol.Request(ctx, a.newTargetRequest())
	if err != nil {
		e.trace, e.err = &target.Trace{}, &exchangeError{failure: retry.ConnectFailed, cause: err}
		return
	}
	e.response, e.trace, err = a.send(outgoing, reuse) //nolint:bodyclose // handleResponse and settleSecond close it.
	e.err = nil
	if err == nil {
		return
	}
	if e.trace.Abort() {
		a.advanceTo(retry.Sent)
	}
	e.err = a.classify(ctx, err)
}

// staleUnsent reports whether a failed exchange sent nothing, since its kept connection had ended.
func (e *exchange) staleUnsent() bool {
	return e.watchdog.ctx.Err() == nil && e.trace.Stale() && !e.trace.Abort() && e.trace.Withheld() == nil
}

// newTargetRequest returns the TargetRequest from which the protocol builds its request.
func (a *attempt) newTargetRequest() *TargetRequest {
	return &TargetRequest{
		Request: a.call.req, Attempt: a.id, Target: a.record, LastEventID: a.lastEvent,
		Remaining: time.Until(a.call.deadline.time()), Source: a.source, CacheHolder: a.cacheHolder, Memory: a.call.relay.opts.Memory,
	}
}

// resume requests the rest of the stream on a new connection.
func (a *attempt) resume(ctx context.Context) error {
	if err := a.call.checkSend(); err != nil {
		return &exchangeError{failure: retry.StreamGone, cause: err}
	}
	w := a.startWatchdog(ctx)
	defer w.stop()
	resumer := a.call.relay.protocol.Resumer()
	outgoing, err := resumer.Resume(w.ctx, a.newTargetRequest())
	if err != nil {
		return &exchangeError{failure: retry.ConnectFailed, cause: err}
	}
	response, trace, err := a.send(outgoing, target.ReuseNone)
	if err != nil {
		trace.Abort()
		return a.classify(w.ctx, err)
	}
	if resumer.StreamGone(response) {
		return discard(response, trace, retry.StreamGone, errStreamGone)
	}
	return a.handleResponse(w, response, trace)
}

// handleResponse checks that the response belongs to the attempt and relays it
// to the caller.
func (a *attempt) handleResponse(w *watchdog, response *http.Response, trace *target.Trace) error {
	protocol, targetReq := a.call.relay.protocol, a.newTargetRequest()
	kind := protocol.Classify(targetReq, response)
	if kind == ResponseMismatched {
		return discard(response, trace, retry.Mismatch, errWrongAttempt)
	}
	a.observeLoad(response)
	a.status = response.StatusCode
	var err error
	switch {
	case kind == ResponseRejected:
		return drainRejection(response, w.cancel)
	case kind == ResponseAmbiguous:
		// The target may have run it.
		a.call.markRan()
		return a.endAmbiguous(response, w.cancel)
	case (a.idleResumes > 0 || a.answerBegun()) && !a.call.mayContinue(kind, response):
		return discard(response, trace, retry.Mismatch, errNotStream)
	case kind == ResponseStream:
		err = a.relayStream(w, response, a.eventsOf(protocol.Events(targetReq, response)))
	default:
		a.call.markRan()
		err = a.relayUnary(w, response, kind)
	}
	_ = response.Body.Close()
	if err != nil && failureOf(err) != retry.Refused {
		trace.Abort()
	}
	return err
}

// observeLoad reports the load in a response, if there is one.
func (a *attempt) observeLoad(response *http.Response) {
	if load, ok := a.call.relay.protocol.Load(response); ok {
		a.reportLoad(load)
	}
}

// reportLoad records a target's load and reports it to a router that implements
// routing.LoadObserver.
func (a *attempt) reportLoad(load fleet.LoadReport) {
	a.load = load
	if observer, ok := a.call.relay.opts.Router.(routing.LoadObserver); ok {
		observer.ObserveLoad(a.call.req, a.target, load)
	}
}

// reportPromptTime reports how long a prompt took to compute to a router that
// implements routing.PromptTimeObserver.
func (a *attempt) reportPromptTime(took time.Duration) {
	if observer, ok := a.call.relay.opts.Router.(routing.PromptTimeObserver); ok {
		observer.ObservePromptTime(a.call.req, a.target, took)
	}
}

// reportAnswer reports how long the attempt took, if its answer is complete and no failure,
// to a router that implements routing.AnswerObserver. err is the attempt's error.
func (a *attempt) reportAnswer(err error) {
	observer, ok := a.call.relay.opts.Router.(routing.AnswerObserver)
	if !ok || err != nil || a.status >= http.StatusBadRequest {
		return
	}
	observer.ObserveAnswer(a.call.req, a.target, time.Since(a.began))
}

// reportWork reports how long the attempt occupied its target, and another engine
// before that with the prompt, to a router that implements routing.WorkObserver. err
// is the attempt's error; a target that rejected the request was not occupied.
func (a *attempt) reportWork(err error) {
	observer, ok := a.call.relay.opts.Router.(routing.WorkObserver)
	if !ok || a.phase == retry.Unsent || (err != nil && failureOf(err) == retry.Rejected) {
		return
	}
	prompt := time.Duration(0)
	if a.source != (KVSource{}) {
		prompt = a.call.prefillInfo.expected.Own
	}
	observer.ObserveWork(a.call.req, a.target, prompt, time.Since(a.began))
}

// endAmbiguous ends an exchange whose response leaves open whether the target ran the request.
func (a *attempt) endAmbiguous(response *http.Response, cancel context.CancelCauseFunc) error {
	drain(response, cancel)
	a.call.relay.opts.Log.Info("ambiguous response", "request", a.call.req.ID, "target", a.target, "status", response.StatusCode)
	return &exchangeError{failure: retry.Mismatch, cause: errAmbiguous}
}

// drainRejection ends an exchange whose target reported that it did not run the
// request.
func drainRejection(response *http.Response, cancel context.CancelCauseFunc) error {
	drain(response, cancel)
	if response.StatusCode == http.StatusMisdirectedRequest {
		return &exchangeError{failure: retry.Rejected, cause: errMisdirected}
	}
	return &exchangeError{failure: retry.Rejected, cause: errRejected}
}

// drain ends an exchange whose response is not forwarded. The connection is kept for reuse if
// the response ends within drainTimeout; cancel ends the exchange otherwise, so that the request
// is not held back.
func drain(response *http.Response, cancel context.CancelCauseFunc) {
	// The connection can be reused only after the body was read. Its content is
	// not needed.
	timer := time.AfterFunc(drainTimeout, func() { cancel(nil) })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxRejectionBytes))
	_ = response.Body.Close()
}

// discard closes the response and its connection, and returns the failure.
func discard(response *http.Response, trace *target.Trace, failure retry.Failure, cause error) error {
	trace.Abort()
	_ = response.Body.Close()
	return &exchangeError{failure: failure, cause: cause}
}
