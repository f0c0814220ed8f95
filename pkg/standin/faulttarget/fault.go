package faulttarget

// Fault is one failure of a target.
type Fault int

// The faults.
const (
	// None handles the request without a failure.
	None Fault = iota
	// CloseBefore closes the connection before the body is read.
	CloseBefore
	// CloseDuring closes the connection after the first byte of the body.
	CloseDuring
	// CloseAfter runs the request and closes the connection without a response.
	CloseAfter
	// Silent reads the request, doesn't run it and never responds.
	Silent
	// RunSilent runs the request and never responds.
	RunSilent
	// Late runs the request after the delay given to New.
	Late
	// WrongAttempt responds with the ID of another attempt.
	WrongAttempt
	// Truncated runs the request and closes the connection within the response.
	Truncated
	// NoEndMarker ends a stream early without an error and without its end marker.
	NoEndMarker
	// SkippedEvent omits an event of a stream.
	SkippedEvent
	// TrailingResponse sends a second response after the end of the first.
	TrailingResponse
	// NoLength sends no Content-Length and ends the response by closing the
	// connection.
	NoLength
	// Draining rejects the request with status 503.
	Draining
	// FaultCount is the number of values above.
	FaultCount
)
