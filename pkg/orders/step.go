package orders

// Step is the next action for an order.
type Step string

// The steps.
const (
	// StepWait polls again later.
	StepWait Step = "wait"
	// StepPlaceHold keeps new work from the target.
	StepPlaceHold Step = "place hold"
	// StepJournalSend journals that the order is about to be sent.
	StepJournalSend Step = "journal send"
	// StepSend sends the order once.
	StepSend Step = "send"
	// StepRecordDone records that the order arrived.
	StepRecordDone Step = "record done"
	// StepRecordAbandoned records that the order is given up.
	StepRecordAbandoned Step = "record abandoned"
	// StepReleaseHold allows new work at the target again.
	StepReleaseHold Step = "release hold"
	// StepClose ends the execution of the order.
	StepClose Step = "close"
)

// Decision is a step with its reason, which is shown to operators.
type Decision struct {
	Step Step
	Why  string
}
