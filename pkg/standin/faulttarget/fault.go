package faulttarget

// Fault is one failure of a target.
type Fault int

// The faults.
const (
	// None lets the request through.
	None Fault = iota
	// CloseBefore closes the connection without reading the body.
	CloseBefore
	// CloseWhile closes it after a part of the body.
	CloseWhile
	// CloseAfter runs the request and closes the connection without an answer.
	CloseAfter
	// Silent takes the request, does not run it and says nothing.
	Silent
	// RunSilent runs the request and says nothing.
	RunSilent
	// Late answers after Delay.
	Late
	// Crossed answers under another attempt's id.
	Crossed
	// Cut runs the request and breaks the connection within the answer.
	Cut
	// NoEnd ends a stream cleanly before its end marker.
	NoEnd
	// Skipped leaves an event out of a stream.
	Skipped
	// TooMuch sends more after the answer's end.
	TooMuch
	// NoLength ends the answer by closing the connection.
	NoLength
	// Draining refuses the request.
	Draining
	// Faults is how many there are.
	Faults
)
