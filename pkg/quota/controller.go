package quota

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

const (
	// minRetryAfter is the shortest delay that a refusal advises, before it is spread.
	minRetryAfter = 200 * time.Millisecond
	// refusalLogInterval is the least time between two log lines on refusals.
	refusalLogInterval = time.Second
)

// ControllerOptions configure a Controller.
type ControllerOptions struct {
	Table *Table
	// QuotaOf returns the quota of a workspace, or nil if it has none.
	QuotaOf func(workspace ident.Workspace) *config.Quota
	// Inner decides on the requests that are within their quota.
	Inner      admission.Controller
	Log        *slog.Logger
	Registerer prometheus.Registerer
}

// Controller admits the requests of workspaces with a quota if a Table has units for them,
// and passes them to another controller. Other requests it only passes on.
type Controller struct {
	opts    ControllerOptions
	metrics *metrics

	mu sync.Mutex
	// loggedAt is when a refusal was last logged, unlogged counts those since.
	loggedAt time.Time
	unlogged int
}

var _ admission.Controller = (*Controller)(nil)

// NewController returns a controller.
func NewController(opts ControllerOptions) *Controller {
	return &Controller{opts: opts, metrics: newMetrics(opts.Registerer)}
}

// Admit waits for units of the request's workspace and then for the inner controller. It
// fails with kind Limited if the workspace is at its limit.
func (c *Controller) Admit(ctx context.Context, req *request.Request) (admission.Ticket, error) {
	quota := c.opts.QuotaOf(req.Workspace)
	if quota == nil {
		return c.opts.Inner.Admit(ctx, req)
	}
	cost := quota.Cost(req.PromptTokens, req.MaxOutputTokens)
	if err := c.claim(ctx, req.Workspace, quota, cost); err != nil {
		return nil, err
	}
	c.metrics.admitted(req.Workspace, cost)
	ticket, err := c.opts.Inner.Admit(ctx, req)
	if err != nil {
		c.opts.Table.Refund(req.Workspace, cost)
		return nil, err
	}
	return &unitTicket{Ticket: ticket, table: c.opts.Table, workspace: req.Workspace, cost: cost}, nil
}

// claim claims units, and returns why the request may not run.
func (c *Controller) claim(ctx context.Context, workspace ident.Workspace, quota *config.Quota, cost float64) error {
	claim := c.opts.Table.Claim(workspace, LimitOf(quota), cost)
	if claim.decided != nil {
		select {
		case <-claim.decided:
		case <-ctx.Done():
			c.opts.Table.Cancel(workspace, claim)
			return fault.Wrap(ctx.Err(), fault.Timeout, "the caller left before the request was admitted", "send the request again")
		}
	}
	state, refusal := c.opts.Table.StateOf(claim)
	if state == Admitted {
		return nil
	}
	c.metrics.refused(workspace, refusal.Unanswered)
	c.logRefusal(workspace, quota, cost, &refusal)
	wait := max(minRetryAfter, refusal.Wait)
	return refusalError(quota, refusal.Unanswered).WithRetryAfter(wait + time.Duration(rand.Float64()*float64(wait)))
}

// refusalError returns why a request is refused. unanswered is set if no keeper has answered,
// so that the workspace may be below its quota.
func refusalError(quota *config.Quota, unanswered bool) *fault.Error {
	if unanswered {
		return fault.New(fault.Limited, fmt.Sprintf("the workspace's quota of %v %s per second could not be checked in time",
			quota.PerSecond, quota.Unit), "send the request again after the time in Retry-After")
	}
	return fault.New(fault.Limited, fmt.Sprintf("the workspace is at its quota of %v %s per second", quota.PerSecond, quota.Unit),
		"send the request again after the time in Retry-After, or ask the operators for a higher quota")
}

// LimitOf returns a quota as a limit.
func LimitOf(quota *config.Quota) Limit {
	return Limit{Unit: quota.Unit, Rate: quota.PerSecond, Burst: quota.Burst}
}

// logRefusal logs a refusal with what decided it, unless one was just logged.
func (c *Controller) logRefusal(workspace ident.Workspace, quota *config.Quota, cost float64, refusal *Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.loggedAt) < refusalLogInterval {
		c.unlogged++
		return
	}
	c.opts.Log.Info("request over its quota refused", "workspace", workspace, "unit", quota.Unit, "perSecond", quota.PerSecond,
		"burst", quota.Burst, "cost", cost, "used", refusal.Used, "granted", refusal.Granted, "grantAge", refusal.Age,
		"wait", refusal.Wait, "unanswered", refusal.Unanswered, "unlogged", c.unlogged)
	c.loggedAt, c.unlogged = now, 0
}

// unitTicket is the ticket of a request that uses units.
type unitTicket struct {
	admission.Ticket
	table     *Table
	workspace ident.Workspace
	cost      float64
}

var _ admission.RunCounter = (*unitTicket)(nil)

// CountRuns returns the units of a request that has not run, and uses more for one that
// several targets may have run.
func (t *unitTicket) CountRuns(runs int) {
	if runs == 0 {
		t.table.Refund(t.workspace, t.cost)
	}
	if runs > 1 {
		t.table.Charge(t.workspace, float64(runs-1)*t.cost)
	}
	if counter, ok := t.Ticket.(admission.RunCounter); ok {
		counter.CountRuns(runs)
	}
}
