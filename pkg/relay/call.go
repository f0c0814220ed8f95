package relay

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/retry"
	"amaranthplank.example/amaranthplank/pkg/routing"
)

const (
	// maxResumes bounds the resumes in a row that bring no event.
	maxResumes = 6
	// leastTime is the time that is worth beginning an attempt for.
	leastTime = 5 * time.Millisecond
)

// call is one request on its way to targets and back.
type call struct {
	relay  *Relay
	req    *request.Request
	writer http.ResponseWriter
	// caller ends when the caller has left.
	caller context.Context
	knobs  *config.RetryKnobs
	run    *retry.Run
	// failed are the targets that attempts failed on.
	failedAt []ident.Target
	prompt   promptTrace
	// last is the last event that the caller has of the stream.
	last   uint64
	result Result
}

// newCall returns a call before its first attempt.
func newCall(r *Relay, req *request.Request, w http.ResponseWriter) *call {
	knobs := r.knobs(req)
	allowed := retry.Allowed{
		Idempotent: req.Idempotent || req.Resumable, Continuable: req.Resumable,
		Resumable: r.protocol.Keeper() != nil && req.Stream && req.Model != "",
	}
	limits := retry.Limits{
		MaxAttempts: attemptsOf(req, knobs), MaxResumes: maxResumes, Deadline: req.Deadline, LeastTime: leastTime,
	}
	budget := r.budgetOf(req, knobs)
	return &call{relay: r, req: req, writer: w, knobs: knobs, run: retry.NewRun(allowed, limits, budget), last: req.After}
}

// budgetOf returns the budget that pays for the request's retries.
func (r *Relay) budgetOf(req *request.Request, knobs *config.RetryKnobs) *retry.Budget {
	if r.opts.Budget == nil {
		return r.budgets.Of(string(req.Route), knobs.BudgetRatio, knobs.BudgetBurst)
	}
	return r.budgets.Of(r.opts.Budget(req))
}

// attemptsOf returns how many targets a request may be sent to.
func attemptsOf(req *request.Request, knobs *config.RetryKnobs) int {
	if req.MaxAttempts > 0 {
		return int(req.MaxAttempts)
	}
	return int(knobs.MaxAttempts)
}

// failed returns what follows an attempt's failure. Once the caller has a part
// of the answer, no later attempt is judged as if it had none.
func (c *call) failed(a *attempt, failure retry.Failure) retry.Decision {
	phase := a.phase
	if c.result.Started {
		phase = retry.Streaming
	}
	decision := c.run.Failed(phase, failure, time.Now())
	c.relay.metrics.failed(phase, failure, decision)
	return decision
}

// do makes attempts until one is answered or none may follow.
func (c *call) do(ctx context.Context) Result {
	if c.hedgeable() {
		if result, ended := c.hedge(ctx); ended {
			return result
		}
	}
	for {
		a, err := c.begin(ctx)
		if err != nil {
			return c.noTarget(err)
		}
		decision, err := a.make(ctx)
		c.relay.opts.Router.Done(c.req, a.target)
		if a.decode != nil {
			c.relay.opts.Router.Done(c.req, a.decode.Record.Target)
		}
		c.tell(a.target, err)
		if decision != retry.Again {
			return c.finish(a, decision, err)
		}
		c.failedAt = append(c.failedAt, a.target)
	}
}

// begin places the next attempt and has its prompt computed apart where the
// protocol and the placement have it so. A prompt that could not be computed is
// tried once more elsewhere, which the retries' budget pays for.
func (c *call) begin(ctx context.Context) (*attempt, error) {
	prefiller, apart := c.relay.protocol.(Prefiller)
	for {
		placement, err := c.place()
		if err != nil {
			return nil, err
		}
		if !apart || placement.Decode == nil {
			return c.launched(placement.Target, placement.Decode, Source{}), nil
		}
		source, err := c.prefill(ctx, prefiller, placement)
		if err == nil {
			return c.goOn(placement.Decode, source)
		}
		c.relay.opts.Router.Done(c.req, placement.Decode.Record.Target)
		c.failedAt = append(c.failedAt, placement.Target.Record.Target)
		failure := failureOf(err)
		if failure == retry.CallerGone || failure == retry.DeadlinePassed || !c.run.Prompt(failure, time.Now()) {
			return nil, notRunError(failure, err)
		}
	}
}

// goOn returns the attempt that generates the answer to a prompt that was
// computed. An engine that has begun to leave meanwhile is replaced.
func (c *call) goOn(decode *fleet.TargetState, source Source) (*attempt, error) {
	checker, ok := c.relay.opts.Router.(routing.AvailabilityChecker)
	if !ok || checker.AcceptsNewWork(decode.Record.Target) {
		return c.launched(decode, nil, source), nil
	}
	c.relay.opts.Router.Done(c.req, decode.Record.Target)
	state, err := c.relay.opts.Router.Choose(c.req, append(c.failedAt, decode.Record.Target))
	if err != nil {
		return nil, err
	}
	return c.launched(state, nil, source), nil
}

// launched returns the attempt at a target and counts it.
func (c *call) launched(target, decode *fleet.TargetState, source Source) *attempt {
	a := newAttempt(c, target)
	a.decode, a.source = decode, source
	c.run.Begin()
	c.result.Attempts++
	c.result.Target = a.target
	return a
}

// tell has a router that learns know how an attempt went, unless the caller
// brought its end about.
func (c *call) tell(name ident.Target, err error) {
	results, ok := c.relay.opts.Router.(routing.ResultObserver)
	if !ok {
		return
	}
	outcome := routing.Answered
	if err != nil {
		outcome = routing.Failed
		switch failureOf(err) {
		case retry.CallerGone, retry.DeadlinePassed, retry.TooLarge:
			return
		case retry.Rejected:
			outcome = routing.Rejected
		default:
		}
	}
	results.ObserveResult(c.req, name, outcome)
}

// place returns where the next attempt runs. Only a stream can change its
// engine, so all else gets one target.
func (c *call) place() (routing.Placement, error) {
	placer, ok := c.relay.opts.Router.(routing.Placer)
	_, apart := c.relay.protocol.(Prefiller)
	if !ok || (c.relay.opts.Moves == nil && !apart) || !c.req.Stream || c.req.Model == "" {
		state, err := c.choose()
		return routing.Placement{Target: state}, err
	}
	placement, err := placer.Place(c.req, c.failedAt)
	if err != nil && len(c.failedAt) > 0 {
		return placer.Place(c.req, nil)
	}
	return placement, err
}

// choose returns a target that no attempt failed on, or, where there is none
// other, any.
func (c *call) choose() (*fleet.TargetState, error) {
	state, err := c.relay.opts.Router.Choose(c.req, c.failedAt)
	if err != nil && len(c.failedAt) > 0 {
		return c.relay.opts.Router.Choose(c.req, nil)
	}
	return state, err
}

// noTarget ends a request that no target may take.
func (c *call) noTarget(err error) Result {
	c.result.Outcome = request.NotRun
	c.result.Err = err
	if c.run.Reached() {
		c.result.Outcome = request.Unknown
		c.result.Err = unknownError(c.req, retry.ConnectFailed, err)
	}
	return c.result
}

// finish ends a request after its last attempt.
func (c *call) finish(a *attempt, decision retry.Decision, err error) Result {
	switch {
	case err == nil:
		c.result.Outcome = request.Answered
		c.logAnswered(a)
		c.result.Figures = a.figures()
	case decision == retry.HandOn:
		return c.handOn(a)
	case decision == retry.EndNotRun:
		c.result.Outcome = request.NotRun
		c.result.Err = notRunError(failureOf(err), err)
	default:
		c.result.Outcome = request.Unknown
		c.result.Err = unknownError(c.req, failureOf(err), err)
		c.result.CallerGone = failureOf(err) == retry.CallerGone
		c.result.Figures = a.partFigures()
	}
	return c.result
}

// logAnswered tells how an answered request fared, beside what was expected.
func (c *call) logAnswered(a *attempt) {
	log := c.relay.opts.Log
	if !log.Enabled(c.caller, slog.LevelDebug) {
		return
	}
	log.Debug("request answered", "request", c.req.ID, "route", c.req.Route, "target", a.target, "prompt", c.prompt.target,
		"tokens", c.req.PromptTokens, "expected", c.prompt.expected, "promptTook", c.prompt.took,
		"answerTook", time.Since(a.began), "events", c.result.Events, "firstAfter", c.result.FirstAt.Sub(a.began))
}

// handOn gives the caller the target's own refusal.
func (c *call) handOn(a *attempt) Result {
	if err := a.refusal.writeTo(c); err != nil {
		c.result.Outcome = request.Unknown
		c.result.CallerGone = true
		c.result.Err = unknownError(c.req, retry.CallerGone, err)
		return c.result
	}
	c.result.Outcome = request.Answered
	return c.result
}

// ran notes the first sign that a target runs the request.
func (c *call) ran() {
	if c.result.Ran {
		return
	}
	c.result.Ran = true
	if began := c.relay.opts.Began; began != nil && c.req.Workspace != "" {
		began(c.req.Workspace)
	}
}

// handed notes that a part of the answer was handed to the caller.
func (c *call) handed() {
	c.result.LastAt = time.Now()
	if !c.result.Started {
		c.result.Started = true
		c.result.FirstAt = c.result.LastAt
	}
}
