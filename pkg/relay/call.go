package relay

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/retry"
	"amaranthplank.example/amaranthplank/pkg/routing"
)

const (
	// maxResumes bounds consecutive resumes that receive no event.
	maxResumes = 6
	// minAttemptTime is the least time that must be left before the deadline for
	// another attempt to be made.
	minAttemptTime = 5 * time.Millisecond
)

// call is the processing of one request.
type call struct {
	relay  *Relay
	req    *request.Request
	writer http.ResponseWriter
	// caller is done when the caller has disconnected.
	caller context.Context
	// deadline ends the request, and is put off if a timeout is lengthened.
	deadline *deadline
	knobs    *config.RetryKnobs
	retries  *retry.Controller
	// failedTargets are the targets at which attempts failed.
	failedTargets []ident.Target
	// sentTo are the addresses that the request was sent to.
	sentMu sync.Mutex
	sentTo []string
	// withheld counts the targets that were chosen and then withheld.
	withheld int
	// late is set while the request waits for room, since no engine took it in time.
	// waitUntil is when it no longer waits; zero before it does.
	late        bool
	waitUntil   time.Time
	prefillInfo prefillInfo
	// prefilled is set once an engine has computed the prompt apart.
	prefilled bool
	// source is the KV cache of the prompt that no engine has taken over yet, or
	// empty.
	source KVSource
	// lastEvent is the ID of the last event that was written to the caller, or
	// that the caller had received before it sent the request.
	lastEvent uint64
	// version is the software version that wrote the part of the stream which the caller
	// has, or nil if it has none. Every attempt since is bound to it.
	version atomic.Pointer[ident.SoftwareVersion]
	// originNoted is set once the target that writes the stream was recorded.
	originNoted atomic.Bool
	// next is the next attempt if it was begun in advance, or nil.
	next *attempt
	// guardCleared is set once the crash guard was notified that an answer continues.
	guardCleared bool
	// losses are the targets that may have ended under the request.
	losses losses
	// begunKind is the kind of content of the stream whose beginning the caller has.
	begunKind contentKind
	// begun is set once an attempt that ended has written a part of the answer.
	begun bool
	// ran is set once a target has begun to run the request. The attempts of a hedged
	// request share it.
	ran atomic.Bool
	// lostHedges are the attempts of a hedged request that ended because of another's answer.
	lostHedges int
	// heldBytes are the bytes of responses that count as held until the request ends.
	heldBytes atomic.Int64
	result    Result
}

// holdBytes counts bytes of a response as held until the request ends. It reports false if the
// memory for responses is used up.
func (c *call) holdBytes(bytes int64) bool {
	if !c.relay.opts.Memory.Take(bytes) {
		return false
	}
	c.heldBytes.Add(bytes)
	return true
}

// releaseBytes no longer counts the bytes of responses as held.
func (c *call) releaseBytes() { c.relay.opts.Memory.Release(c.heldBytes.Swap(0)) }

// newCall returns a call before its first attempt.
func newCall(r *Relay, req *request.Request, w http.ResponseWriter) *call {
	knobs := r.knobs(req)
	caps := retry.Capabilities{
		Idempotent: req.Idempotent || req.Resumable, Continuable: req.Resumable,
		Resumable: r.protocol.Resumer() != nil && req.Stream && req.Model != "",
	}
	limits := retry.Limits{
		MaxAttempts: maxAttempts(req, knobs), MaxResumes: maxResumes, Deadline: req.Deadline, MinAttemptTime: minAttemptTime,
	}
	budget := r.retryBudget(req, knobs)
	return &call{relay: r, req: req, writer: w, knobs: knobs, retries: retry.NewController(caps, limits, budget), lastEvent: req.LastEventID}
}

// retryBudget returns the budget from which the request's retries are taken.
func (r *Relay) retryBudget(req *request.Request, knobs *config.RetryKnobs) *retry.Budget {
	key, share := string(req.Route), retry.Share{Ratio: knobs.BudgetRatio, Burst: knobs.BudgetBurst}
	if r.opts.RetryBudget != nil {
		key, share = r.opts.RetryBudget(req)
	}
	return r.budgets.For(key, share, time.Now())
}

// maxAttempts returns how many targets a request may be sent to.
func maxAttempts(req *request.Request, knobs *config.RetryKnobs) int {
	if req.MaxAttempts > 0 {
		return int(req.MaxAttempts)
	}
	return int(knobs.MaxAttempts)
}

// decide returns how to continue after an attempt failed. Once the caller has a
// part of the answer, every later attempt counts as streaming.
func (c *call) decide(a *attempt, failure retry.Failure) retry.Decision {
	phase := a.phase
	if c.result.ResponseStarted {
		phase = retry.Streaming
	}
	c.retries.SetDeadline(c.deadline.reconsider())
	decision := c.retries.AfterFailure(phase, failure, time.Now())
	c.relay.metrics.exchangeFailed(phase, failure, decision)
	return decision
}

// do makes attempts until one is answered or no further one is allowed.
func (c *call) do(ctx context.Context) Result {
	if err := c.requireVersion(ctx); err != nil {
		return c.endWithoutTarget(err)
	}
	if c.hedgeable() {
		if result, ended := c.hedge(ctx); ended {
			return result
		}
	}
	for {
		a, err := c.nextAttempt(ctx)
		if err != nil {
			return c.endWithoutTarget(err)
		}
		decision, err := a.run(ctx)
		c.begun = c.begun || a.answerBegun()
		c.relay.opts.Router.Done(c.req, a.target)
		if a.decode != nil {
			c.relay.opts.Router.Done(c.req, a.decode.Record.Target)
		}
		c.reportResult(a, err)
		c.reportToGuard(a, err)
		c.reportLostConnection(a, err)
		a.reportAnswer(err)
		a.reportWork(err)
		c.reportSeconds(a)
		if c.next == nil {
			decision = c.afterLoss(ctx, decision)
		}
		if decision != retry.Again {
			return c.finish(a, decision, err)
		}
		c.keepSource(a, err)
		c.failedTargets = append(c.failedTargets, a.target)
	}
}

// reportResult reports an attempt's result to a router that implements
// routing.ResultObserver, unless the caller's disconnect, the deadline or the size
// limit ended the attempt, or its target withheld it or asked for a pause, which is no
// failure.
func (c *call) reportResult(a *attempt, err error) {
	observer, ok := c.relay.opts.Router.(routing.ResultObserver)
	if !ok {
		return
	}
	outcome := routing.Answered
	if errors.Is(err, errWithheld) || (err != nil && a.notice.Pause > 0) {
		return
	}
	if err != nil {
		outcome = routing.Failed
		switch failureOf(err) {
		case retry.CallerGone, retry.DeadlinePassed, retry.TooLarge:
			return
		case retry.Rejected:
			outcome = routing.Rejected
			if errors.Is(err, errMisdirected) {
				outcome = routing.Misdirected
			}
		default:
		}
	}
	observer.ObserveResult(c.req, a.target, outcome)
}

// endWithoutTarget ends a request that no target accepts.
func (c *call) endWithoutTarget(err error) Result {
	c.result.Outcome = request.NotRun
	c.result.Err = err
	if c.retries.MayHaveRun() {
		c.result.Outcome = request.Unknown
		c.result.Err = unknownError(c.req, retry.ConnectFailed, err)
	}
	return c.result
}

// finish ends a request after its last attempt.
func (c *call) finish(a *attempt, decision retry.Decision, err error) Result {
	switch {
	case err == nil:
		c.result.Runs++
		c.result.Outcome = request.Answered
		c.logAnswered(a)
		c.result.Usage = a.finalUsage()
	case decision == retry.Forward:
		return c.forwardRefusal(a)
	case decision == retry.EndNotRun:
		c.result.Outcome = request.NotRun
		c.result.Err = notRunError(failureOf(err), err)
	default:
		c.result.Outcome = request.Unknown
		c.result.Err = unknownError(c.req, failureOf(err), err)
		c.result.CallerGone = failureOf(err) == retry.CallerGone
		c.result.Usage = a.partialUsage()
	}
	return c.result
}

// logAnswered logs the actual and the expected times of an answered request.
func (c *call) logAnswered(a *attempt) {
	log := c.relay.opts.Log
	if !log.Enabled(c.caller, slog.LevelDebug) {
		return
	}
	log.Debug("request answered", "request", c.req.ID, "route", c.req.Route, "target", a.target, "prompt", c.prefillInfo.target,
		"tokens", c.req.PromptTokens, "expected", c.prefillInfo.expected, "promptTook", c.prefillInfo.took,
		"answerTook", time.Since(a.began), "events", c.result.Events, "firstAfter", c.result.FirstAt.Sub(a.began))
}

// forwardRefusal writes the target's own refusal to the caller.
func (c *call) forwardRefusal(a *attempt) Result {
	if err := a.refusal.writeTo(c); err != nil {
		c.result.Outcome = request.Unknown
		c.result.CallerGone = true
		c.result.Err = unknownError(c.req, retry.CallerGone, err)
		return c.result
	}
	c.result.Outcome = request.Answered
	return c.result
}

// markRan records the first stream event or unary response from a target that did
// not reject the request.
func (c *call) markRan() {
	if c.ran.Swap(true) {
		return
	}
	if onRun := c.relay.opts.OnRun; onRun != nil && c.req.Workspace != "" {
		onRun(c.req.Workspace)
	}
}

// markDelivered records that a part of the answer is written to the caller.
func (c *call) markDelivered() {
	c.result.LastAt = time.Now()
	if !c.result.ResponseStarted {
		c.result.ResponseStarted = true
		c.result.FirstAt = c.result.LastAt
	}
}
