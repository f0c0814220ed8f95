package routing

// Evidence is what a send to a target, up to the head of the answer, shows about whether
// the target is there. absences.observe decides what follows from it.
type Evidence int

const (
	// EvidenceUnreliable is an error, silence or a connection that was lost. The target
	// may still be there, so that results of attempts only eject it for a while, and
	// not if its role or service has no other.
	EvidenceUnreliable Evidence = iota
	// EvidenceRefused is a refused connection: no process listens at the target's
	// address, and nothing was sent.
	EvidenceRefused
	// EvidenceMisdirected is a response that the request is not for the process at the
	// target's address, or that its role is another. In both cases the view is behind.
	EvidenceMisdirected
	// EvidencePresent is any other response, also one that rejects the request.
	EvidencePresent
)
