package gateway

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/rolekeeper"
	"amaranthplank.example/amaranthplank/pkg/targetlimit"
)

// newTargetLimits returns the limits that targets state for the fleet.
func (g *Gateway) newTargetLimits() *targetlimit.Table {
	return targetlimit.New(targetlimit.Options{
		Self: g.opts.Host, Hosts: g.presentHosts, Now: time.Now, TrueTime: func() int64 { return g.time.Now().UnixMilli() },
		SettleTime: g.opts.PropagationBound, Random: newRandom(), OnChange: g.limitChanged,
	})
}

// presentHosts returns the hosts of the other daemons that are present.
func (g *Gateway) presentHosts() []ident.Host {
	members := g.presence.Members()
	hosts := make([]ident.Host, len(members))
	for i := range members {
		hosts[i] = members[i].Host
	}
	return hosts
}

// limitChanged counts and logs that a target states a limit, another one or none.
func (g *Gateway) limitChanged(statement targetlimit.Statement) {
	if !statement.Limited {
		g.metrics.notices.WithLabelValues("limit ended").Inc()
		g.opts.Log.Info("limit of a target ended", "target", statement.Target)
		return
	}
	g.metrics.notices.WithLabelValues("limited").Inc()
	g.opts.Log.Info("target limits its requests", "target", statement.Target, "perSecond", statement.PerSecond)
}

// limitedOrderer counts orders and report requests against the limits of their targets.
type limitedOrderer struct {
	rolekeeper.Orderer
	gateway *Gateway
}

// Order sends one order, unless the engine's limit has no slot for it.
func (o limitedOrderer) Order(ctx context.Context, order rolekeeper.Order) error {
	if err := o.gateway.beginOrder(order.Target.Target); err != nil {
		return err
	}
	return o.Orderer.Order(ctx, order)
}

// AcceptedOrders returns how many orders an engine has accepted, unless the engine's limit
// has no slot for the question.
func (o limitedOrderer) AcceptedOrders(ctx context.Context, target external.TargetRecord) (uint64, error) {
	if err := o.gateway.beginOrder(target.Target); err != nil {
		return 0, err
	}
	return o.Orderer.AcceptedOrders(ctx, target)
}

// beginOrder returns why an engine gets no order or report request now, or nil.
func (g *Gateway) beginOrder(target ident.Target) error {
	incarnation, _ := g.incarnationOf(target)
	return g.router.BeginOrder(target, incarnation)
}
