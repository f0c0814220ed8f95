package orders_test

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/duty"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/orders"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
)

// platformClient implements external.TargetOrderer for one node, with its faults.
type platformClient struct{ node *node }

// Order places a target order. It records a violation if the node does not hold
// the supply duty when the call starts.
func (c platformClient) Order(_ context.Context, order external.TargetOrder) error {
	if !c.node.hasAuthority(duty.Supply) {
		c.node.cluster.recordViolation("%s ordered without authority", order.OrderID)
	}
	c.node.stallAt(stallSend)
	if err := c.node.process.Enter(faultstore.SidePlatform); err != nil {
		return err
	}
	err := c.node.cluster.placeOrder(order)
	if lost := c.node.process.Leave(faultstore.SidePlatform); lost != nil {
		return lost
	}
	return err
}

// placeOrder stores an order and checks it against the earlier ones.
func (c *cluster) placeOrder(order external.TargetOrder) error {
	group := orders.SupplyGroup{Model: order.Model, FailureDomain: order.FailureDomain, Kind: order.Kind}
	c.mu.Lock()
	last := c.placedOrders[group]
	count, known := c.orderCounts[order.OrderID]
	refused := order.Fencing < last.Fencing && !c.disabled.fencing
	if !refused {
		c.placedOrders[group] = order
		c.orderCounts[order.OrderID] = order.DesiredCount
	}
	c.mu.Unlock()
	switch {
	case refused:
		return fault.New(fault.Fenced, "old fencing token", "")
	case known && count != order.DesiredCount:
		c.recordViolation("%s repeated with different content", order.OrderID)
	case order.OrderID < last.OrderID:
		c.recordViolation("conflicting target orders: %s after %s", order.OrderID, last.OrderID)
	}
	return nil
}

// Orders returns the newest orders.
func (c platformClient) Orders(context.Context) ([]external.TargetOrder, error) {
	c.node.cluster.mu.Lock()
	defer c.node.cluster.mu.Unlock()
	var list []external.TargetOrder
	for _, order := range c.node.cluster.placedOrders {
		list = append(list, order)
	}
	return list, nil
}

// Targets returns nothing; the fleet view of the cluster has the targets.
func (c platformClient) Targets(context.Context) ([]external.TargetRecord, error) { return nil, nil }

// PlanSupply implements orders.SupplyPlanner.
func (c *cluster) PlanSupply(*fleet.Snapshot, time.Time) []external.TargetOrder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return []external.TargetOrder{
		{FailureDomain: domainOf(0), Model: model, Kind: external.Dependable, DesiredCount: c.wantedCount},
		{FailureDomain: domainOf(1), Model: model, Kind: external.Reclaimable, DesiredCount: c.wantedCount},
	}
}

// setWantedCount sets the count that the planner requests in each group.
func (c *cluster) setWantedCount(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wantedCount = count
}

// placedCounts returns the counts last requested from the platform.
func (c *cluster) placedCounts() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var counts []int
	for _, order := range c.placedOrders {
		counts = append(counts, order.DesiredCount)
	}
	return counts
}
