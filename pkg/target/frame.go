package target

import "github.com/go-faster/errors"

// Frame is one server-sent event of an engine's stream.
type Frame struct {
	// ID counts the events from one. It is zero for a frame that has only comments,
	// which is a keep-alive and not an event.
	ID uint64
	// Data is the event's data. It is valid until the next frame is read.
	Data []byte
	// Text is the data line with the blank line that ends the frame, ready to be
	// forwarded. A reader made by NewEventReader returns the whole event here and no
	// Data.
	Text []byte
}

// Errors of a FrameReader.
var (
	// ErrFrameTooLarge is returned for a frame larger than MaxFrameBytes.
	ErrFrameTooLarge = errors.New("stream frame is too large")
	// ErrFrameMalformed is returned for a frame that violates the protocol.
	ErrFrameMalformed = errors.New("stream frame is malformed")
)
