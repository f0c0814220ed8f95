package retry

// Phase tells how far an attempt has come.
type Phase int

// The phases, in the order that an attempt passes through them.
const (
	// Unsent attempts have handed no byte of the request to a connection.
	Unsent Phase = iota
	// Sent attempts may have reached the target.
	Sent
	// Answering attempts have got the start of their own answer, of which the
	// caller has got nothing.
	Answering
	// Streaming attempts have handed a part of the answer to the caller.
	Streaming
	// phases is how many there are.
	phases
)

// String returns the phase's name.
func (p Phase) String() string {
	names := [phases]string{"unsent", "sent", "answering", "streaming"}
	return names[p]
}
