package orders

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// execution carries out one target's order under one authority. Only one
// goroutine uses it.
type execution struct {
	opts      *EngineOptions
	authority lease.Authority
	journal   *journal
	holds     *holdKeeper
	sends     *sendLog
	metrics   *metrics
	// superseded reports whether the planner now requests another order.
	superseded func(Record) bool
	// queueOutcome queues the outcome of the process's own send, to be written
	// to the journal after the execution has stopped.
	queueOutcome func(Record)
	// publish updates the order's status for operators.
	publish func(Record, Decision)

	record Record
	// unconfirmed is a record that journals a send and whose write has not
	// been confirmed, or nil.
	unconfirmed *Record
	idle        idleDetector
	// senderStopped is set once the sender is known to send no more, and
	// senderStoppedAt is when that was first known, by opts.Clock.
	senderStopped   bool
	senderStoppedAt time.Duration
	// loadAllowedAt is when the weight store allows the load to begin. It is
	// valid once loadReserved is set.
	loadAllowedAt time.Duration
	loadReserved  bool
	// report is the target's own report in the current poll, or nil.
	report *fleet.LoadReport
}

// run takes steps until the order is closed, ctx ends or the authority is lost.
func (e *execution) run(ctx context.Context) {
	defer e.handOver()
	for ctx.Err() == nil && e.authority.Check() == nil {
		engine, seen := e.observe(ctx)
		decision := Next(e.record, seen)
		e.publish(e.record, decision)
		if decision.Step == StepClose {
			return
		}
		e.metrics.steps.WithLabelValues(string(decision.Step)).Inc()
		if decision.Step == StepWait {
			e.pause(ctx)
			e.reloadForeign(ctx, seen)
			continue
		}
		if err := e.perform(ctx, engine, decision); err != nil {
			e.opts.Log.Info("order step failed", "target", e.record.Target, "step", decision.Step, "error", err)
			e.recoverFrom(ctx, err)
		}
	}
}

// handOver journals or queues the outcome of this process's own send when the
// execution stops, so that a successor need not wait until the process is known
// to have ended.
func (e *execution) handOver() {
	record, state := e.record, e.sendState()
	if e.unconfirmed != nil && record.Phase == PhaseWanted {
		record, state = *e.unconfirmed, SendDue
	}
	if record.Phase != PhaseSent {
		return
	}
	switch state {
	case SendAccepted:
		record.Phase = PhaseDone
	case SendDue, SendRefused:
		record.Phase, record.Reason = PhaseAbandoned, "the holder lost the duty before the sending"
	case SendUnknown:
		record.SendEnded = true
	case SendForeign:
		return
	}
	// From here on this process must not send under this entry.
	e.sends.set(record.Sender, cancelDue(e.sends.get(record.Sender)))
	record.WrittenAt = time.Now()
	if e.authority.Check() == nil && e.journal.writeOutcome(context.Background(), record) {
		return
	}
	e.queueOutcome(record)
}

// cancelDue turns a send that has not been started into a refused one, since it
// will not be started any more. Other states stay.
func cancelDue(state SendState) SendState {
	if state == SendDue {
		return SendRefused
	}
	return state
}

// perform carries out one step that has an effect.
func (e *execution) perform(ctx context.Context, engine external.TargetRecord, decision Decision) error {
	record := e.record
	record.WrittenAt = time.Now()
	switch decision.Step {
	case StepPlaceHold:
		return e.holds.place(ctx, record.Target, "order "+record.Order.OrderID)
	case StepReleaseHold:
		return e.holds.release(ctx, record.Target)
	case StepJournalSend:
		return e.journalSend(ctx, record)
	case StepSend:
		return e.send(ctx, engine)
	case StepRecordDone:
		record.Phase = PhaseDone
		return e.close(ctx, record)
	case StepRecordAbandoned:
		record.Phase, record.Reason = PhaseAbandoned, decision.Why
		return e.close(ctx, record)
	case StepWait, StepClose:
	}
	return nil
}

// journalSend journals that the order is about to be sent. A write whose response
// was lost may have taken effect, so the same record is written again until the
// result is known.
func (e *execution) journalSend(ctx context.Context, record Record) error {
	e.senderStopped = false
	if e.unconfirmed == nil {
		record.Phase = PhaseSent
		stamped := e.journal.stampSend(record)
		e.unconfirmed = &stamped
	}
	return e.adopt(e.journal.put(ctx, *e.unconfirmed))
}

// send sends the order once, unless the authority is lost.
func (e *execution) send(ctx context.Context, engine external.TargetRecord) error {
	order := e.record.Order
	order.Fencing = sendFencing(e.record)
	// A graceful shutdown waits for the response, so that the outcome is recorded.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.opts.Timing.SendTimeout)
	defer cancel()
	e.sends.set(e.record.Sender, SendUnknown)
	if err := e.authority.Check(); err != nil {
		e.sends.set(e.record.Sender, SendRefused)
		return err
	}
	err := e.opts.Client.Send(ctx, engine, order)
	switch {
	case err == nil:
		e.sends.set(e.record.Sender, SendAccepted)
	case fault.KindOf(err) == fault.Unknown:
		return err
	default:
		e.sends.set(e.record.Sender, SendRefused)
	}
	return nil
}

// close writes the order's outcome, also during a graceful shutdown.
func (e *execution) close(ctx context.Context, record Record) error {
	err := e.adopt(e.journal.write(context.WithoutCancel(ctx), record))
	if err == nil {
		e.sends.forget(record.Sender)
	}
	return err
}

// adopt makes a record the current one if it was written without an error.
func (e *execution) adopt(record Record, err error) error {
	if err == nil {
		e.record, e.unconfirmed = record, nil
	}
	return err
}

// recoverFrom waits after a failed step. If another holder changed the entry,
// the order continues from the journaled record.
func (e *execution) recoverFrom(ctx context.Context, err error) {
	if fault.KindOf(err) == fault.Conflict {
		if record, readErr := e.journal.reload(ctx, e.record.Target); readErr == nil {
			if record.version != e.record.version {
				e.unconfirmed = nil
			}
			e.record = record
			e.senderStopped = false
		}
	}
	e.pause(ctx)
}

// reloadForeign reads the journal again if another process sent the order, since
// that process may have written the outcome.
func (e *execution) reloadForeign(ctx context.Context, seen Observation) {
	if e.record.Phase != PhaseSent || seen.Send != SendForeign {
		return
	}
	if record, err := e.journal.reload(ctx, e.record.Target); err == nil {
		e.record = record
	}
}

// pause waits until the next poll.
func (e *execution) pause(ctx context.Context) {
	timer := time.NewTimer(e.opts.Timing.PollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
