package orders

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// observe looks at the order and its target once.
func (e *execution) observe(ctx context.Context) (external.TargetRecord, Observation) {
	var seen Observation
	state := e.opts.View.Snapshot().Target(e.record.Target)
	if state == nil {
		seen.Hold, seen.Send = e.holdState(), e.sendState()
		return external.TargetRecord{Target: e.record.Target}, seen
	}
	seen.Listed, seen.Leaving, seen.Checks = true, state.Record.Leaving, state.Record.ChecksFencing
	seen.Superseded = e.record.Phase == PhaseWanted && e.superseded(e.record)
	seen.AwaitsWeights = e.awaitsWeights(ctx)
	seen.Hold = e.holdState()
	seen.Send = e.sendState()
	e.look(ctx, state.Record)
	if e.last == nil {
		return state.Record, seen
	}
	seen.Quiet = e.quiet.observe(*e.last, seen.Hold == HoldInForce, e.opts.Terms.QuietAfter)
	seen.Delivered = e.record.Phase == PhaseSent && e.last.OrderID == e.record.Order.OrderID
	seen.Settled = e.settled()
	seen.Back = true
	return state.Record, seen
}

// look fetches the target's own report where the next step may turn on it.
func (e *execution) look(ctx context.Context, engine external.TargetRecord) {
	e.last = nil
	e.noteEnd()
	if e.record.Phase == PhaseWanted && !NeedsQuiet(e.record.Order.Kind) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, e.opts.Terms.CallTimeout)
	defer cancel()
	if report, err := e.opts.Client.Report(ctx, engine); err == nil {
		e.last = &report
	}
}

// noteEnd notes when the sender is first known to send no more. It comes
// before the report, which must be the later of the two.
func (e *execution) noteEnd() {
	if e.record.Phase != PhaseSent || e.ended {
		return
	}
	sender := e.record.Sender
	if e.record.SendEnded || e.sendState() == SendUnknown || e.opts.Fates.Gone(sender.Host, sender.Incarnation) {
		e.ended, e.endedAt = true, e.opts.Clock.Now()
	}
}

// settled reports whether an order that was not seen can no longer arrive.
func (e *execution) settled() bool {
	return e.ended && e.opts.Clock.Now()-e.endedAt >= e.opts.Terms.DeliveryBound
}

// holdState returns what is known of the hold on the target.
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

// sendState returns what this process knows of the journalled sending.
func (e *execution) sendState() SendState {
	if e.record.Phase != PhaseSent || !e.record.Sender.SameProcess(e.self()) {
		return SendForeign
	}
	state := e.sends.get(e.record.Sender)
	if state == SendDue && e.record.Fencing != e.authority.Fencing() {
		// An earlier hold of this process journalled it, ended before the
		// sending and has returned.
		return SendRefused
	}
	return state
}

// awaitsWeights reserves a load at the weight store once and reports whether it
// must still wait.
func (e *execution) awaitsWeights(ctx context.Context) bool {
	if e.record.Phase != PhaseWanted || e.record.Order.Kind != target.OrderLoad || e.opts.Weights == nil {
		return false
	}
	if !e.reserved {
		ctx, cancel := context.WithTimeout(ctx, e.opts.Terms.CallTimeout)
		defer cancel()
		wait, err := e.opts.Weights.Reserve(ctx, e.record.Order.Model)
		if err != nil {
			return true
		}
		e.reserved, e.loadAt = true, e.opts.Clock.Now()+wait
	}
	return e.opts.Clock.Now() < e.loadAt
}

// self returns the process's identity.
func (e *execution) self() lease.Writer {
	return lease.Writer{Host: e.opts.Host, Incarnation: e.opts.Incarnation}
}

// orderNumber returns the number that a journalled order bears to its target.
func orderNumber(record Record) ident.Fencing { return ident.Fencing(record.version) }
