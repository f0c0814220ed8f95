package orders_test

import (
	"context"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/duty"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// model is the model of every engine.
const model ident.Model = "counting"

const (
	// requestDuration is how long a request runs.
	requestDuration = 400 * time.Millisecond
	// requestInterval is the time between the starts of two requests.
	requestInterval = 700 * time.Millisecond
	// sendDelay is how long an order is in transit.
	sendDelay = 300 * time.Millisecond
	// roleChangeTime is how long an engine is out of service during a role
	// change or a restart.
	roleChangeTime = 3 * time.Second
)

// fakeEngine is a simulated engine that checks the orders that it receives.
type fakeEngine struct {
	cluster       *cluster
	name          ident.Target
	domain        int
	checksFencing bool

	mu          sync.Mutex
	incarnation ident.Incarnation
	role        fleet.Role
	fencing     ident.FencingToken
	orderID     string
	// lastOrderID is the last order that took effect. Unlike orderID, it is
	// kept across crashes.
	lastOrderID       string
	effects           int
	requestedAt       time.Time
	busyUntil         time.Time
	outOfServiceUntil time.Time
}

// newFakeEngine returns an idle engine.
func newFakeEngine(c *cluster, name ident.Target, domain int, checksFencing bool) *fakeEngine {
	return &fakeEngine{cluster: c, name: name, domain: domain, checksFencing: checksFencing, incarnation: 1, role: fleet.Mixed}
}

// offerRequest starts a request at the engine if one is due, the engine is in
// service and no hold keeps requests away.
func (e *fakeEngine) offerRequest(held bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !held && !time.Now().Before(e.outOfServiceUntil) && time.Since(e.requestedAt) >= requestInterval {
		e.requestedAt = time.Now()
		e.busyUntil = time.Now().Add(requestDuration)
	}
}

// crash restarts the engine in its initial role.
func (e *fakeEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation++
	e.role, e.orderID = fleet.Mixed, ""
	e.outOfServiceUntil = time.Now().Add(roleChangeTime)
	e.busyUntil = time.Time{}
}

// apply carries out an order. It records a violation if the order is older than
// the last one or interrupts running requests.
func (e *fakeEngine) apply(order target.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFencing && !e.cluster.disabled.fencing && order.Fencing < e.fencing {
		return fault.New(fault.Fenced, "old fencing token", "")
	}
	e.fencing = max(e.fencing, order.Fencing)
	if order.OrderID < e.lastOrderID {
		e.cluster.recordViolation("%s: conflicting orders: %s after %s", e.name, order.OrderID, e.lastOrderID)
	}
	if time.Now().Before(e.busyUntil) && order.OrderID != e.orderID {
		e.cluster.recordViolation("%s: %s interrupted running requests", e.name, order.OrderID)
	}
	e.lastOrderID, e.orderID = order.OrderID, order.OrderID
	if e.role != order.Role {
		e.outOfServiceUntil = time.Now().Add(roleChangeTime)
	}
	e.role = order.Role
	e.effects++
	return nil
}

// report returns the engine's own report.
func (e *fakeEngine) report() fleet.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := fleet.LoadReport{
		Target: e.name, Incarnation: e.incarnation, Role: e.role, OrderID: e.orderID, Fencing: e.fencing, TakenAt: time.Now(),
	}
	if time.Now().Before(e.busyUntil) {
		report.Running = 1
	}
	return report
}

// targetState returns the engine's entry in the fleet view.
func (e *fakeEngine) targetState() fleet.TargetState {
	record := external.TargetRecord{Target: e.name, FailureDomain: domainOf(e.domain), Model: model, ChecksFencing: e.checksFencing}
	return fleet.TargetState{Record: record, Load: e.report()}
}

// engineClient implements orders.EngineClient for one node, with its faults.
type engineClient struct{ node *node }

// Send sends an order to an engine. It records a violation if the node does not
// hold the duty when the send starts.
func (c engineClient) Send(_ context.Context, record external.TargetRecord, order target.Order) error {
	if !c.node.hasAuthority(duty.Engines(model)) {
		c.node.cluster.recordViolation("%s: %s sent without authority", record.Target, order.OrderID)
	}
	c.node.stallAt(stallSend)
	if err := c.node.process.Enter(faultstore.SideTargets); err != nil {
		return err
	}
	time.Sleep(sendDelay)
	err := c.node.cluster.engines[record.Target].apply(order)
	if lost := c.node.process.Leave(faultstore.SideTargets); lost != nil {
		return lost
	}
	return err
}

// Report returns an engine's report.
func (c engineClient) Report(_ context.Context, record external.TargetRecord) (fleet.LoadReport, error) {
	if err := c.node.process.Enter(faultstore.SideTargets); err != nil {
		return fleet.LoadReport{}, err
	}
	e := c.node.cluster.engines[record.Target]
	report := e.report()
	e.mu.Lock()
	outOfService := time.Now().Before(e.outOfServiceUntil)
	e.mu.Unlock()
	if outOfService {
		return report, external.ErrStoreUnavailable
	}
	return report, c.node.process.Leave(faultstore.SideTargets)
}
