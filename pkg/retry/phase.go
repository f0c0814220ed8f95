package retry

// Phase is how far an attempt has progressed.
type Phase int

// The phases, in the order in which an attempt passes through them.
const (
	// Unsent attempts have written no byte of the request to a connection.
	Unsent Phase = iota
	// Sent attempts may have reached the target.
	Sent
	// Answering attempts have received the start of a response, of which nothing
	// has been delivered to the caller.
	Answering
	// Streaming attempts have delivered a part of the answer to the caller.
	Streaming
	// phases is the number of phases.
	phases
)

// String returns the phase's name, which metrics use as a label.
func (p Phase) String() string {
	names := [phases]string{"unsent", "sent", "answering", "streaming"}
	return names[p]
}
