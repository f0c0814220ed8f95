package orders

// Next returns what the holder does next about an order. It looks at nothing
// but its arguments, so a successor goes on from any step.
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

// nextWanted goes on with an order that nobody has sent.
func nextWanted(record Record, seen Observation) Decision {
	switch {
	case !seen.Listed || seen.Leaving:
		return Decision{Step: StepRecordAbandoned, Why: "the target leaves"}
	case seen.Superseded:
		return Decision{Step: StepRecordAbandoned, Why: "another order is wanted"}
	case seen.AwaitsWeights:
		return Decision{Step: StepWait, Why: "the weight store does not let the load begin yet"}
	}
	return whenQuiet(record, seen)
}

// whenQuiet journals the sending once nothing runs at the target.
func whenQuiet(record Record, seen Observation) Decision {
	if NeedsQuiet(record.Order.Kind) {
		switch {
		case seen.Hold == HoldNone || seen.Hold == HoldEarlier:
			return Decision{Step: StepPlaceHold}
		case seen.Hold == HoldPlaced:
			return Decision{Step: StepWait, Why: "the hold is not yet in force at every daemon"}
		case !seen.Quiet:
			return Decision{Step: StepWait, Why: "requests may still run at the target"}
		}
	}
	return Decision{Step: StepJournalSend}
}

// nextSent goes on with an order that may have been sent.
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
	case seen.Checks:
		// A number above the journalled one shuts the earlier sending out.
		return whenQuiet(record, seen)
	case seen.Settled:
		return Decision{Step: StepRecordAbandoned, Why: "the order never arrived and its sender is gone"}
	}
	return Decision{Step: StepWait, Why: "an order that was sent may still arrive; its sender is not known to be gone"}
}

// nextDone lets the target serve again once it is back.
func nextDone(seen Observation) Decision {
	if seen.Hold != HoldNone && seen.Listed && !seen.Back {
		return Decision{Step: StepWait, Why: "the target has not reported since the order"}
	}
	return nextClosed(seen)
}

// nextClosed releases what the order still holds.
func nextClosed(seen Observation) Decision {
	if seen.Hold != HoldNone {
		return Decision{Step: StepReleaseHold}
	}
	return Decision{Step: StepClose}
}
