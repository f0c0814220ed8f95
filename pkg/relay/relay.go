package relay

import (
	"context"
	"log/slog"
	"net/http"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/retry"
)

// Relay sends requests to the targets that a router chooses.
type Relay struct {
	opts     Options
	protocol Protocol
	budgets  *retry.Budgets
	metrics  *metrics
	canceler *canceler
}

// New returns a relay.
func New(opts Options) *Relay {
	m := newMetrics(opts.Registerer)
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	if opts.Ending == nil {
		opts.Ending = context.Background
	}
	protocol := opts.Protocol
	if protocol == nil {
		protocol = EngineProtocol{}
	}
	withdrawals := &withdrawalObserver{metrics: m, log: opts.Log}
	return &Relay{opts: opts, protocol: protocol, budgets: retry.NewBudgets(withdrawals.observe), metrics: m, canceler: newCanceler(opts, protocol.Resumer(), m)}
}

// Run cancels abandoned attempts at their engines until ctx ends.
func (r *Relay) Run(ctx context.Context) error { return r.canceler.run(ctx) }

// Do runs one request and writes the answer to w. If the result's
// ResponseStarted is false nothing was written, so the caller can still be sent
// an error.
func (r *Relay) Do(ctx context.Context, req *request.Request, w http.ResponseWriter) Result {
	c := newCall(r, req, w)
	c.caller = ctx
	ctx, c.deadline = startDeadline(ctx, r.opts.Ending(), req)
	defer c.deadline.stop()
	defer c.releaseBytes()
	result := c.do(ctx)
	c.recordEnd()
	result.Ran, result.Deadline = c.ran.Load(), c.deadline.time()
	result.Runs += c.retries.FailedRuns() + c.lostHedges
	return result
}

// knobs returns the retry knobs in force for a request.
func (r *Relay) knobs(req *request.Request) *config.RetryKnobs {
	selector := config.Selector{Workspace: req.Workspace, Route: req.Route, Model: req.Model, Service: req.Service}
	return &r.opts.Config.Current().Knobs(selector).Retry
}
