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

// rejectionBytes bounds what is read of a rejection's body.
const rejectionBytes = 4 << 10

// first sends the request.
func (a *attempt) first(ctx context.Context) error {
	w := a.watch(ctx)
	defer w.stop()
	outgoing, err := a.call.relay.protocol.Request(w.ctx, a.send())
	if err != nil {
		return &exchangeError{failure: retry.ConnectFailed, cause: err}
	}
	reuse := target.ReuseRecent
	if a.call.req.Idempotent {
		reuse = target.ReuseAny
	}
	response, trace, err := a.call.relay.opts.Client.Do(outgoing, reuse)
	if err != nil {
		if trace.Poison() {
			a.reached(retry.Sent)
		}
		return a.call.classify(w.ctx, err)
	}
	a.reached(retry.Answering)
	return a.take(w, response, trace)
}

// send returns what the protocol words.
func (a *attempt) send() *Send {
	return &Send{
		Request: a.call.req, Attempt: a.id, Target: a.record, After: a.last,
		Left: time.Until(a.call.req.Deadline), Source: a.source, Holder: a.holder,
	}
}

// resume asks for the rest of the stream on a new connection.
func (a *attempt) resume(ctx context.Context) error {
	w := a.watch(ctx)
	defer w.stop()
	keeper := a.call.relay.protocol.Keeper()
	outgoing, err := keeper.Resume(w.ctx, a.send())
	if err != nil {
		return &exchangeError{failure: retry.ConnectFailed, cause: err}
	}
	response, trace, err := a.call.relay.opts.Client.Do(outgoing, target.ReuseNone)
	if err != nil {
		trace.Poison()
		return a.call.classify(w.ctx, err)
	}
	if keeper.Lost(response) {
		return discard(response, trace, retry.StreamGone, errStreamGone)
	}
	return a.take(w, response, trace)
}

// take checks whose answer it is and carries it to the caller.
func (a *attempt) take(w *watch, response *http.Response, trace *target.Trace) error {
	protocol, send := a.call.relay.protocol, a.send()
	verdict := protocol.Judge(send, response)
	if verdict == VerdictForeign {
		return discard(response, trace, retry.Mismatch, errWrongAttempt)
	}
	if load, ok := protocol.Load(response); ok {
		a.tellLoad(load)
	}
	var err error
	switch {
	case verdict == VerdictRejected:
		return a.rejected(response)
	case verdict == VerdictEvents:
		err = a.stream(w, response, protocol.Events(send, response))
	case a.quiet > 0 || a.call.result.Started:
		return discard(response, trace, retry.Mismatch, errWrongEvent)
	default:
		a.call.ran()
		err = a.whole(w, response, verdict)
	}
	_ = response.Body.Close()
	if err != nil && failureOf(err) != retry.Refused {
		trace.Poison()
	}
	return err
}

// tellLoad has a router that learns know a target's load.
func (a *attempt) tellLoad(load fleet.LoadReport) {
	if observer, ok := a.call.relay.opts.Router.(routing.LoadObserver); ok {
		observer.ObserveLoad(a.call.req, a.target, load)
	}
}

// tellTime has a router that learns know how long a prompt took.
func (a *attempt) tellTime(took time.Duration) {
	if observer, ok := a.call.relay.opts.Router.(routing.PromptTimeObserver); ok {
		observer.ObservePromptTime(a.call.req, a.target, took)
	}
}

// rejected ends an exchange whose target states that it did not run the
// request. The connection stays in use.
func (a *attempt) rejected(response *http.Response) error {
	// What is left of so short a body is of no interest; reading it keeps the
	// connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, rejectionBytes))
	_ = response.Body.Close()
	return &exchangeError{failure: retry.Rejected, cause: errRejected}
}

// discard ends the use of an answer's connection.
func discard(response *http.Response, trace *target.Trace, failure retry.Failure, cause error) error {
	trace.Poison()
	_ = response.Body.Close()
	return &exchangeError{failure: failure, cause: cause}
}
