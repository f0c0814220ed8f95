package orders

// Next returns the holder's next step for an order. It depends only on its
// arguments, so a successor can continue from any step.
func Next(record Record, seen Observation) Decision {
	switch record.Phase {
	case PhaseWanted:
		return nextWanted(record, seen)
	case PhaseSent:
		return nextSent(record, seen)
	case PhaseDone:
		return nextDone(seen)
	case PhaseAbandoned:
		return nextClosed(seen)
	}
	return Decision{Step: StepClose, Why: "the journal's phase is not known"}
}

// nextWanted returns the next step for an order that has not been sent.
func nextWanted(record Record, seen Observation) Decision {
	switch {
	case !seen.Listed || seen.Leaving:
		return Decision{Step: StepRecordAbandoned, Why: "the target leaves"}
	case seen.Superseded:
		return Decision{Step: StepRecordAbandoned, Why: "another order is wanted"}
	case seen.AwaitsWeights:
		return Decision{Step: StepWait, Why: "the weight store does not let the load begin yet"}
	}
	return nextOnceIdle(record, seen)
}

// nextOnceIdle returns the next step towards journaling a send. If the kind of order
// requires it, the target is held and must be idle first.
func nextOnceIdle(record Record, seen Observation) Decision {
	if RequiresIdle(record.Order.Kind) {
		switch {
		case seen.Hold == HoldNone || seen.Hold == HoldEarlier:
			return Decision{Step: StepPlaceHold}
		case seen.Hold == HoldPlaced:
			return Decision{Step: StepWait, Why: "the hold is not yet in force at every daemon"}
		case !seen.Idle:
			return Decision{Step: StepWait, Why: "requests may still run at the target"}
		}
	}
	return Decision{Step: StepJournalSend}
}

// nextSent returns the next step for an order that may have been sent.
func nextSent(record Record, seen Observation) Decision {
	switch {
	case seen.Delivered, seen.Send == SendAccepted:
		return Decision{Step: StepRecordDone}
	case seen.Send == SendDue:
		return Decision{Step: StepSend}
	case seen.Send == SendRefused:
		return Decision{Step: StepRecordAbandoned, Why: "the target did not take the order"}
	case !seen.Listed:
		return Decision{Step: StepRecordAbandoned, Why: "the target is gone"}
	case seen.ChecksFencing:
		// Journaling the send again gives it a higher fencing token, so the
		// target refuses the earlier one.
		return nextOnceIdle(record, seen)
	case seen.DeliveryBoundPassed:
		return Decision{Step: StepRecordAbandoned, Why: "the order never arrived and its sender is gone"}
	}
	return Decision{Step: StepWait, Why: "an order that was sent may still arrive; its sender is not known to be gone"}
}

// nextDone returns the next step for an order that has arrived: the hold is
// released once the target has reported.
func nextDone(seen Observation) Decision {
	if seen.Hold != HoldNone && seen.Listed && !seen.Reported {
		return Decision{Step: StepWait, Why: "the target has not reported since the order"}
	}
	return nextClosed(seen)
}

// nextClosed releases the hold that is left of a finished order, then closes it.
func nextClosed(seen Observation) Decision {
	if seen.Hold != HoldNone {
		return Decision{Step: StepReleaseHold}
	}
	return Decision{Step: StepClose}
}
