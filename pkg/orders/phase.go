package orders

// Phase is the progress of an order as the journal records it. The states in
// between (target held, target idle) are not journaled; each holder determines
// them again.
type Phase string

// The phases.
const (
	// PhaseWanted orders have not been sent by any process.
	PhaseWanted Phase = "wanted"
	// PhaseSent orders may have been sent, and may still arrive.
	PhaseSent Phase = "sent"
	// PhaseDone orders have arrived at their target.
	PhaseDone Phase = "done"
	// PhaseAbandoned orders are given up: they were not sent, were refused,
	// can no longer arrive, or their target is gone.
	PhaseAbandoned Phase = "abandoned"
)

// Open reports whether an order in this phase is unfinished.
func (p Phase) Open() bool { return p == PhaseWanted || p == PhaseSent }
