package fleet

// TargetNotice is what a target states about itself in an answer, whatever the answer
// is to. The zero value states nothing.
type TargetNotice struct {
	// Leaving is set if the target is about to end and wants no new work. It holds
	// for the rest of the target's incarnation.
	Leaving bool
}
