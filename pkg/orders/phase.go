package orders

// Phase says how far an order has come. It is what the journal keeps; the steps
// in between (held, quiet) are found anew by each holder.
type Phase string

// The phases.
const (
	// PhaseWanted orders have not been sent by anybody.
	PhaseWanted Phase = "wanted"
	// PhaseSent orders may have been sent, and may still arrive.
	PhaseSent Phase = "sent"
	// PhaseDone orders have arrived.
	PhaseDone Phase = "done"
	// PhaseAbandoned orders have not arrived and never will.
	PhaseAbandoned Phase = "abandoned"
)

// Open reports whether an order of this phase is still to be finished.
func (p Phase) Open() bool { return p == PhaseWanted || p == PhaseSent }
