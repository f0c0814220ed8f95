package target

import "github.com/go-faster/errors"

// Frame is one server-sent event of an engine's stream.
type Frame struct {
	// ID counts the events from one. It is zero for a frame that bears only
	// comments, which is a sign of life and no event.
	ID uint64
	// Data is the event's data. It is valid until the next frame is read.
	Data []byte
	// Text is the data's line with the frame's end, ready to be handed on.
	Text []byte
}

// Errors of a FrameReader.
var (
	// ErrFrameTooLarge says that a frame exceeds its bound.
	ErrFrameTooLarge = errors.New("stream frame is too large")
	// ErrFrameMalformed says that a frame is not as the protocol has it.
	ErrFrameMalformed = errors.New("stream frame is malformed")
)
