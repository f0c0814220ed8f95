package orders

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// observe polls the state of the order and its target once.
func (e *execution) observe(ctx context.Context) (external.TargetRecord, Observation) {
	var seen Observation
	state := e.opts.View.Snapshot().Target(e.record.Target)
	if state == nil {
		seen.Hold, seen.Send = e.holdState(), e.sendState()
		return external.TargetRecord{Target: e.record.Target}, seen
	}
	seen.Listed, seen.Leaving, seen.ChecksFencing = true, state.Record.Leaving, state.Record.ChecksFencing
	seen.Superseded = e.record.Phase == PhaseWanted && e.superseded(e.record)
	seen.AwaitsWeights = e.awaitsWeights(ctx)
	seen.Hold = e.holdState()
	seen.Send = e.sendState()
	e.fetchReport(ctx, state.Record)
	if e.report == nil {
		return state.Record, seen
	}
	seen.Idle = e.idle.observe(*e.report, seen.Hold == HoldInForce, e.opts.Timing.IdleMargin)
	seen.Delivered = e.record.Phase == PhaseSent && e.report.OrderID == e.record.Order.OrderID
	seen.DeliveryBoundPassed = e.deliveryBoundPassed()
	seen.Reported = true
	return state.Record, seen
}

// fetchReport fetches the target's own report if the next step may depend on it.
func (e *execution) fetchReport(ctx context.Context, engine external.TargetRecord) {
	e.report = nil
	e.noteSenderStopped()
	if e.record.Phase == PhaseWanted && !RequiresIdle(e.record.Order.Kind) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, e.opts.Timing.CallTimeout)
	defer cancel()
	if report, err := e.opts.Client.Report(ctx, engine); err == nil {
		e.report = &report
	}
}

// noteSenderStopped records when the sender is first known to send no more. It is
// called before the report is fetched, so that the report is the later of the
// two.
func (e *execution) noteSenderStopped() {
	if e.record.Phase != PhaseSent || e.senderStopped {
		return
	}
	sender := e.record.Sender
	if e.record.SendEnded || e.sendState() == SendUnknown || e.opts.Termination.Ended(sender.Host, sender.Incarnation) {
		e.senderStopped, e.senderStoppedAt = true, e.opts.Clock.Now()
	}
}

// deliveryBoundPassed reports whether DeliveryBound has passed since the sender
// was known to send no more. An order that was not seen by then can no longer
// arrive.
func (e *execution) deliveryBoundPassed() bool {
	return e.senderStopped && e.opts.Clock.Now()-e.senderStoppedAt >= e.opts.Timing.DeliveryBound
}

// holdState returns the state of the duty's hold on the target.
func (e *execution) holdState() HoldState {
	hold, revision, ok := e.holds.find(e.record.Target)
	switch {
	case !ok:
		return HoldNone
	case hold.Fencing != e.authority.Fencing():
		return HoldEarlier
	case !e.opts.Holds.HoldsInForce(revision):
		return HoldPlaced
	}
	return HoldInForce
}

// sendState returns the state of the journaled send.
func (e *execution) sendState() SendState {
	if e.record.Phase != PhaseSent || !e.record.Sender.SameProcess(e.self()) {
		return SendForeign
	}
	state := e.sends.get(e.record.Sender)
	if state == SendDue && e.record.Fencing != e.authority.Fencing() {
		// This process journaled the send during an earlier term of the duty,
		// which ended before the send was started.
		return SendRefused
	}
	return state
}

// awaitsWeights reserves the load at the weight store once and reports whether
// the load must still wait.
func (e *execution) awaitsWeights(ctx context.Context) bool {
	if e.record.Phase != PhaseWanted || e.record.Order.Kind != target.OrderLoad || e.opts.Weights == nil {
		return false
	}
	if !e.loadReserved {
		ctx, cancel := context.WithTimeout(ctx, e.opts.Timing.CallTimeout)
		defer cancel()
		delay, err := e.opts.Weights.Reserve(ctx, e.record.Order.Model)
		if err != nil {
			return true
		}
		e.loadReserved, e.loadAllowedAt = true, e.opts.Clock.Now()+delay
	}
	return e.opts.Clock.Now() < e.loadAllowedAt
}

// self returns the process's identity.
func (e *execution) self() lease.Writer {
	return lease.Writer{Host: e.opts.Host, Incarnation: e.opts.Incarnation}
}

// sendFencing returns the fencing token that a journaled order is sent with.
func sendFencing(record Record) ident.FencingToken { return ident.FencingToken(record.version) }
