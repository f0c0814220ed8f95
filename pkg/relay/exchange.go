package relay

import (
	"context"
	"mime"
	"net/http"
	"strconv"
	"time"

	"amaranthplank.example/amaranthplank/pkg/retry"
	"amaranthplank.example/amaranthplank/pkg/target"
)

const (
	// eventStream is the content type of streams.
	eventStream = "text/event-stream"
	// agent is what the system calls itself towards targets.
	agent = "amaranthplank"
)

// forwarded lists the callers' headers that targets get. Whatever is not in the
// list stays here, the caller's key with it.
var forwarded = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-None-Match"}

// first sends the request.
func (a *attempt) first(ctx context.Context) error {
	w := a.watch(ctx)
	defer w.stop()
	outgoing, err := a.request(w.ctx)
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

// resume asks for the rest of the stream on a new connection.
func (a *attempt) resume(ctx context.Context) error {
	w := a.watch(ctx)
	defer w.stop()
	url := "http://" + a.address + target.PathStreams + string(a.id)
	outgoing, err := http.NewRequestWithContext(w.ctx, http.MethodGet, url, nil)
	if err != nil {
		return &exchangeError{failure: retry.ConnectFailed, cause: err}
	}
	a.setOwn(outgoing.Header)
	outgoing.Header.Set(target.HeaderAfter, strconv.FormatUint(a.last, 10))
	response, trace, err := a.call.relay.opts.Client.Do(outgoing, target.ReuseNone)
	if err != nil {
		trace.Poison()
		return a.call.classify(w.ctx, err)
	}
	if response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusGone {
		return discard(response, trace, retry.StreamGone, errStreamGone)
	}
	return a.take(w, response, trace)
}

// take checks whose answer it is and carries it to the caller.
func (a *attempt) take(w *watch, response *http.Response, trace *target.Trace) error {
	if response.Header.Get(target.HeaderAttempt) != string(a.id) {
		return discard(response, trace, retry.Mismatch, errWrongAttempt)
	}
	var err error
	kind, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	switch {
	case a.call.req.Stream && response.StatusCode == http.StatusOK && kind == eventStream:
		err = a.stream(w, response)
	case a.quiet > 0 || a.last > 0:
		return discard(response, trace, retry.Mismatch, errWrongEvent)
	default:
		err = a.whole(w, response)
	}
	_ = response.Body.Close()
	if err != nil && failureOf(err) != retry.Refused {
		trace.Poison()
	}
	return err
}

// discard ends the use of an answer's connection.
func discard(response *http.Response, trace *target.Trace, failure retry.Failure, cause error) error {
	trace.Poison()
	_ = response.Body.Close()
	return &exchangeError{failure: failure, cause: cause}
}

// request returns what goes to the target.
func (a *attempt) request(ctx context.Context) (*http.Request, error) {
	req := a.call.req
	outgoing, err := http.NewRequestWithContext(ctx, req.Method, "http://"+a.address+req.Path, target.NewBody(req.Body))
	if err != nil {
		return nil, err
	}
	outgoing.ContentLength = int64(len(req.Body))
	for _, name := range forwarded {
		if value := req.Header.Get(name); value != "" {
			outgoing.Header.Set(name, value)
		}
	}
	a.setOwn(outgoing.Header)
	return outgoing, nil
}

// setOwn sets the system's own headers.
func (a *attempt) setOwn(header http.Header) {
	left := time.Until(a.call.req.Deadline).Milliseconds()
	header.Set("User-Agent", agent)
	header.Set(target.HeaderAttempt, string(a.id))
	header.Set(target.HeaderPriority, string(a.call.req.Class))
	header.Set(target.HeaderDeadline, strconv.FormatInt(max(left, 1), 10))
	if credential := a.call.relay.opts.Credential; credential != "" {
		header.Set(target.HeaderCredential, credential)
	}
}
