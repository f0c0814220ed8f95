package orders

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// execution carries one target's order out under one authority. It belongs to
// one goroutine.
type execution struct {
	opts      *EngineOptions
	authority lease.Authority
	journal   *journal
	holds     *holdKeeper
	sends     *sendLog
	metrics   *metrics
	// superseded tells whether the planner wants something else by now.
	superseded func(Record) bool
	// state hands on what the process knows of its own sending.
	state func(Record)
	// publish shows the order to operators.
	publish func(Record, Decision)

	record Record
	// attempt is a sending whose journalling was not answered, or nil.
	attempt *Record
	quiet   quietWatch
	// endedAt is when the sender was first known to send no more, on the
	// options' clock; ended is set from then on.
	ended   bool
	endedAt time.Duration
	// loadAt is when the weight store lets the load begin.
	loadAt   time.Duration
	reserved bool
	// last is the target's own report of this look, or nil.
	last *fleet.LoadReport
}

// run takes steps until the order is closed, ctx ends or the authority does.
func (e *execution) run(ctx context.Context) {
	defer e.leave()
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
			e.follow(ctx, seen)
			continue
		}
		if err := e.take(ctx, engine, decision); err != nil {
			e.opts.Log.Info("order's step failed", "target", e.record.Target, "step", decision.Step, "error", err)
			e.recover(ctx, err)
		}
	}
}

// leave hands on what this process knows of its own sending when it stops, so
// that the successor need not wait for the process to be gone.
func (e *execution) leave() {
	record, state := e.record, e.sendState()
	if e.attempt != nil && record.Phase == PhaseWanted {
		record, state = *e.attempt, SendDue
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
	// From here on the process may not send under this entry.
	e.sends.set(record.Sender, ended(e.sends.get(record.Sender)))
	record.WrittenAt = time.Now()
	if e.authority.Check() == nil && e.journal.state(context.Background(), record) {
		return
	}
	e.state(record)
}

// ended returns the state of a sending that is not begun any more.
func ended(state SendState) SendState {
	if state == SendDue {
		return SendRefused
	}
	return state
}

// take takes one step that has an effect.
func (e *execution) take(ctx context.Context, engine external.TargetRecord, decision Decision) error {
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

// journalSend journals that the order is about to be sent. A write whose answer
// was lost may have taken effect, so the same one is repeated until it is known.
func (e *execution) journalSend(ctx context.Context, record Record) error {
	e.ended = false
	if e.attempt == nil {
		record.Phase = PhaseSent
		stamped := e.journal.stampSend(record)
		e.attempt = &stamped
	}
	return e.keep(e.journal.put(ctx, *e.attempt))
}

// send sends the order once, unless the authority has ended.
func (e *execution) send(ctx context.Context, engine external.TargetRecord) error {
	order := e.record.Order
	order.Fencing = orderNumber(e.record)
	// A planned stop waits for the answer, so that the outcome is recorded.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.opts.Terms.SendTimeout)
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

// close writes the order's outcome, also during a planned stop.
func (e *execution) close(ctx context.Context, record Record) error {
	err := e.keep(e.journal.write(context.WithoutCancel(ctx), record))
	if err == nil {
		e.sends.forget(record.Sender)
	}
	return err
}

// keep takes a written record in.
func (e *execution) keep(record Record, err error) error {
	if err == nil {
		e.record, e.attempt = record, nil
	}
	return err
}

// recover waits after a failed step. Where another holder wrote the journal,
// the order goes on from what stands there.
func (e *execution) recover(ctx context.Context, err error) {
	if fault.KindOf(err) == fault.Conflict {
		if record, readErr := e.journal.reload(ctx, e.record.Target); readErr == nil {
			if record.version != e.record.version {
				e.attempt = nil
			}
			e.record = record
			e.ended = false
		}
	}
	e.pause(ctx)
}

// follow reads what the sender of a foreign sending may have stated by now.
func (e *execution) follow(ctx context.Context, seen Observation) {
	if e.record.Phase != PhaseSent || seen.Send != SendForeign {
		return
	}
	if record, err := e.journal.reload(ctx, e.record.Target); err == nil {
		e.record = record
	}
}

// pause waits until the next look.
func (e *execution) pause(ctx context.Context) {
	timer := time.NewTimer(e.opts.Terms.LookEvery)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
