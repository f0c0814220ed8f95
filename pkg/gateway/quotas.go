package gateway

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/presence"
	"amaranthplank.example/amaranthplank/pkg/quota"
)

// quotaTick is the time between two ticks of the quotas' table.
const quotaTick = 25 * time.Millisecond

// quotas are the components that enforce the quotas of workspaces.
type quotas struct {
	table      *quota.Table
	exchange   *quota.Exchange
	controller *quota.Controller
}

// newQuotas returns the components that enforce quotas. inner decides on the requests
// within them.
func (g *Gateway) newQuotas(inner admission.Controller) quotas {
	exchange := quota.NewExchange(g.opts.Host, g.opts.Log)
	table := quota.New(quota.Options{
		Self: g.opts.Host, Epoch: uint64(g.incarnation), Hosts: g.presentHosts, LimitOf: g.quotaLimit,
		Bounds: func() quota.Bounds { return g.limits.Load().Quota }, Now: bootTime, SettleTime: g.opts.PropagationBound,
		Restarted: func() bool { return g.presence.Precedes(g.opts.Host, g.incarnation) }, InTouch: g.mayGrantQuotas,
		Send: exchange.Send,
	})
	return quotas{table: table, exchange: exchange, controller: quota.NewController(quota.ControllerOptions{
		Table: table, QuotaOf: g.quotaOf, Inner: inner, Log: g.opts.Log, Registerer: g.registry,
	})}
}

// quotaOf returns the quota of a workspace, or nil if it has none.
func (g *Gateway) quotaOf(name ident.Workspace) *config.Quota {
	snapshot := g.opts.Published.Current()
	if snapshot == nil {
		return nil
	}
	workspace := snapshot.Workspace(name)
	if workspace == nil {
		return nil
	}
	return workspace.Quota
}

// quotaLimit returns the limit of a workspace, or false if it has none.
func (g *Gateway) quotaLimit(workspace ident.Workspace) (quota.Limit, bool) {
	stated := g.quotaOf(workspace)
	if stated == nil {
		return quota.Limit{}, false
	}
	return quota.LimitOf(stated), true
}

// mayGrantQuotas reports whether the other daemons still count this one as present: its
// key was not removed from the store, and the store was read so recently that they could
// not have dropped this daemon since.
func (g *Gateway) mayGrantQuotas() bool {
	age, known := g.mirror.Age()
	return known && age < presence.AbsenceDelay-g.opts.PropagationBound && !g.presence.Removed(g.opts.Host, g.incarnation)
}

// runQuotas ticks the table until ctx ends.
func (g *Gateway) runQuotas(ctx context.Context) error {
	return clock.Every(ctx, quotaTick, func() error {
		g.quotas.table.Tick()
		return nil
	})
}
