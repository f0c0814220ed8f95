package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/retry"
)

// hedgeResult is how one attempt of a hedged request ended.
type hedgeResult struct {
	attempt *attempt
	err     error
}

// hedgeable reports whether the request may be sent to a second target while the
// first has not answered. Only short requests that may run twice qualify:
// idempotent lookups that are not streamed.
func (c *call) hedgeable() bool {
	return c.req.Idempotent && !c.req.Stream && c.req.Class == ident.ClassLookup && c.knobs.HedgeAfter > 0
}

// hedge makes one attempt, and a second one if the first takes longer than the
// knob hedgeAfter and the budget allows it. It reports false if the attempts
// failed and the request may be retried.
func (c *call) hedge(ctx context.Context) (Result, bool) {
	if err := c.checkSend(); err != nil {
		return c.endWithoutTarget(err), true
	}
	first, err := c.choose()
	if err != nil {
		return c.endWithoutTarget(err), true
	}
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan hedgeResult, 2)
	var answered atomic.Bool
	claim := func() bool { return answered.CompareAndSwap(false, true) }
	c.retries.BeginAttempt()
	c.launch(ctx, first, claim, results)
	running := 1
	timer := time.NewTimer(c.knobs.HedgeAfter.D())
	defer timer.Stop()
	// Cancel the losing attempt and wait for its goroutine before the request
	// ends.
	defer func() {
		cancel()
		c.lostHedges = running
		for ; running > 0; running-- {
			<-results
		}
	}()
	for {
		select {
		case <-timer.C:
			running += c.launchHedge(ctx, first, claim, results)
		case got := <-results:
			running--
			if decision, over := c.handleHedgeResult(got); over || running == 0 {
				return c.finishHedge(got, c.afterLoss(ctx, decision))
			}
		}
	}
}

// launch makes an attempt in a new goroutine.
func (c *call) launch(ctx context.Context, state *fleet.TargetState, claim func() bool, results chan<- hedgeResult) {
	c.result.Attempts++
	a := newAttempt(c, state)
	a.claimAnswer = claim
	go func() {
		err := a.sendFirst(ctx)
		c.relay.opts.Router.Done(c.req, state.Record.Target)
		results <- hedgeResult{attempt: a, err: err}
	}()
}

// launchHedge makes the second attempt at another target, and returns the number
// of attempts launched.
func (c *call) launchHedge(ctx context.Context, first *fleet.TargetState, claim func() bool, results chan<- hedgeResult) int {
	if c.checkSend() != nil {
		return 0
	}
	second, err := c.relay.opts.Router.Choose(c.req, c.constraints(append(c.failedTargets, first.Record.Target)))
	if err != nil {
		return 0
	}
	if !c.retries.TryHedge(time.Now()) {
		c.relay.opts.Router.Done(c.req, second.Record.Target)
		return 0
	}
	c.launch(ctx, second, claim, results)
	return 1
}

// handleHedgeResult returns how to continue after one attempt ended, and whether
// the request ends with it.
func (c *call) handleHedgeResult(got hedgeResult) (retry.Decision, bool) {
	c.reportResult(got.attempt, got.err)
	c.reportToGuard(got.attempt, got.err)
	if got.err == nil {
		return retry.Forward, true
	}
	c.failedTargets = append(c.failedTargets, got.attempt.target)
	if errors.Is(got.err, errWithheld) {
		return c.afterWithheld(), false
	}
	failure := failureOf(got.err)
	decision := c.retries.AfterFailure(got.attempt.phase, failure, time.Now())
	c.relay.metrics.exchangeFailed(got.attempt.phase, failure, decision)
	return decision, got.attempt.phase == retry.Streaming
}

// finishHedge ends the request, or reports false if it may be retried.
func (c *call) finishHedge(got hedgeResult, decision retry.Decision) (Result, bool) {
	if got.err != nil && decision == retry.Again {
		return Result{}, false
	}
	return c.finish(got.attempt, decision, got.err), true
}
