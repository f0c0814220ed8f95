package relay

import (
	"context"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/retry"
)

// hedgeEnd is how one of a hedged request's attempts ended.
type hedgeEnd struct {
	attempt *attempt
	err     error
}

// hedgeable reports whether the request may be sent to a second target while
// the first has not answered: only short ones that may run twice.
func (c *call) hedgeable() bool {
	return c.req.Idempotent && !c.req.Stream && c.req.Class == ident.ClassLookup && c.knobs.HedgeAfter > 0
}

// hedge makes one attempt, and a second beside it where the first takes long
// and the budget allows it. It reports false where both failed and the request
// may be tried further.
func (c *call) hedge(ctx context.Context) (Result, bool) {
	first, err := c.choose()
	if err != nil {
		return c.noTarget(err), true
	}
	ctx, cancel := context.WithCancel(ctx)
	ends := make(chan hedgeEnd, 2)
	var answered atomic.Bool
	win := func() bool { return answered.CompareAndSwap(false, true) }
	c.run.Begin()
	c.launch(ctx, first, win, ends)
	running := 1
	timer := time.NewTimer(c.knobs.HedgeAfter.D())
	defer timer.Stop()
	// The loser ends with its context, before the request does.
	defer func() {
		cancel()
		for ; running > 0; running-- {
			<-ends
		}
	}()
	for {
		select {
		case <-timer.C:
			running += c.launchSecond(ctx, first, win, ends)
		case end := <-ends:
			running--
			if decision, over := c.hedgeEnded(end); over || running == 0 {
				return c.afterHedge(end, decision)
			}
		}
	}
}

// launch makes an attempt in a goroutine of its own.
func (c *call) launch(ctx context.Context, state *fleet.TargetState, win func() bool, ends chan<- hedgeEnd) {
	c.result.Attempts++
	a := newAttempt(c, state)
	a.win = win
	go func() {
		err := a.first(ctx)
		c.relay.opts.Router.Done(c.req, state.Record.Target)
		ends <- hedgeEnd{attempt: a, err: err}
	}()
}

// launchSecond makes the second attempt at another target and returns how many
// it launched.
func (c *call) launchSecond(ctx context.Context, first *fleet.TargetState, win func() bool, ends chan<- hedgeEnd) int {
	second, err := c.relay.opts.Router.Choose(c.req, append(c.failedAt, first.Record.Target))
	if err != nil {
		return 0
	}
	if !c.run.Hedge(time.Now()) {
		c.relay.opts.Router.Done(c.req, second.Record.Target)
		return 0
	}
	c.launch(ctx, second, win, ends)
	return 1
}

// hedgeEnded returns what follows one attempt's end, and whether the request is
// over with it.
func (c *call) hedgeEnded(end hedgeEnd) (retry.Decision, bool) {
	c.tell(end.attempt.target, end.err)
	if end.err == nil {
		return retry.HandOn, true
	}
	c.failedAt = append(c.failedAt, end.attempt.target)
	failure := failureOf(end.err)
	decision := c.run.Failed(end.attempt.phase, failure, time.Now())
	c.relay.metrics.failed(end.attempt.phase, failure, decision)
	return decision, end.attempt.phase == retry.Streaming
}

// afterHedge ends the request, or leaves it to further attempts.
func (c *call) afterHedge(end hedgeEnd, decision retry.Decision) (Result, bool) {
	if end.err != nil && decision == retry.Again {
		return Result{}, false
	}
	return c.finish(end.attempt, decision, end.err), true
}
