package relay

import (
	"context"
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/retry"
	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// Prefiller is the part of a Protocol for engines that compute a prompt from
// which another engine generates the answer.
type Prefiller interface {
	// Prefill returns the request to compute the prompt.
	Prefill(ctx context.Context, targetReq *TargetRequest) (*http.Request, error)
	// Prefilled parses the KV cache's identity from the response.
	Prefilled(targetReq *TargetRequest, response *http.Response) (KVSource, error)
}

// prefillTimeoutFactor is the timeout of a prefill as a multiple of the silence
// timeout.
const prefillTimeoutFactor = 2

// prefill has the prompt computed at one engine. That does not count as running
// the request: after a failed prefill, the request may still be retried or
// reported as not run.
func (c *call) prefill(ctx context.Context, prefiller Prefiller, placement routing.Placement) (KVSource, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, prefillTimeoutFactor*c.knobs.SilenceTimeout.D(), errSilence)
	defer cancel()
	a := newAttempt(c, placement.Target)
	if placement.CacheHolder != nil {
		a.cacheHolder = placement.CacheHolder.Record.Address
	}
	defer func() {
		c.prefillInfo = prefillInfo{target: a.target, took: time.Since(a.began), expected: placement.Expected}
	}()
	source, err := a.computePrompt(ctx, prefiller)
	c.relay.opts.Router.Done(c.req, a.target)
	c.reportResult(a, err)
	if err != nil {
		failure := failureOf(err)
		c.relay.metrics.exchangeFailed(retry.Unsent, failure, retry.Again)
		c.relay.opts.Log.Info("prompt not computed apart", "request", c.req.ID, "target", a.target, "failure", failure, "error", err)
	}
	return source, err
}

// computePrompt makes the prefill exchange.
func (a *attempt) computePrompt(ctx context.Context, prefiller Prefiller) (KVSource, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	protocol, targetReq := a.call.relay.protocol, a.newTargetRequest()
	targetReq.PromptOnly = true
	outgoing, err := prefiller.Prefill(ctx, targetReq)
	if err != nil {
		return KVSource{}, &exchangeError{failure: retry.ConnectFailed, cause: err}
	}
	began := time.Now()
	response, trace, err := a.send(outgoing, target.ReuseAny)
	if err != nil {
		trace.Abort()
		return KVSource{}, a.classify(ctx, err)
	}
	kind := protocol.Classify(targetReq, response)
	if kind == ResponseMismatched {
		return KVSource{}, discard(response, trace, retry.Mismatch, errWrongAttempt)
	}
	if load, ok := protocol.Load(response); ok {
		a.reportLoad(load)
	}
	if kind == ResponseRejected || kind == ResponseAmbiguous || kind == ResponseFailed {
		return KVSource{}, drainRejection(response, cancel)
	}
	source, err := prefiller.Prefilled(targetReq, response)
	source.Version = a.record.SoftwareVersion
	_ = response.Body.Close()
	if err != nil {
		trace.Abort()
		return KVSource{}, a.classify(ctx, err)
	}
	a.reportPromptTime(time.Since(began))
	return source, nil
}

// prefillInfo describes a request's prefill, for the log.
type prefillInfo struct {
	target   ident.Target
	took     time.Duration
	expected routing.Expected
}
