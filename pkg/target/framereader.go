package target

import (
	"bytes"
	"io"
)

const (
	// MaxFrameBytes bounds one frame of a stream.
	MaxFrameBytes = 256 << 10
	// startBytes is the size that a reader's buffer starts with.
	startBytes = 4 << 10
)

// FrameReader splits an engine's stream into frames. It is strict: a frame is
// an id line and a data line, with comments between at most.
type FrameReader struct {
	source io.Reader
	buffer []byte
	// start and end bound the bytes that were read and not yet returned.
	start, end int
	// scanned is how far line ends were looked for.
	scanned int
	// line is where the line at scanned begins.
	line int
	// anyField takes frames with fields of any name, and keeps their text whole.
	anyField bool
}

// NewFrameReader returns a reader of source.
func NewFrameReader(source io.Reader) *FrameReader {
	return &FrameReader{source: source, buffer: make([]byte, startBytes)}
}

// NewEventReader returns a reader of source that takes any server-sent event
// with an id. The text of its frames is the whole event.
func NewEventReader(source io.Reader) *FrameReader {
	reader := NewFrameReader(source)
	reader.anyField = true
	return reader
}

// Next returns the next frame. It fails with io.EOF only between two frames and
// with io.ErrUnexpectedEOF within one.
func (f *FrameReader) Next() (Frame, error) {
	f.scanned, f.line = f.start, f.start
	for {
		if stop := f.findEnd(); stop > 0 {
			text := f.buffer[f.start:stop]
			f.start = stop
			if f.anyField {
				return parseEvent(text)
			}
			return parseFrame(text)
		}
		if err := f.fill(); err != nil {
			return Frame{}, err
		}
	}
}

// Ready reports whether the next frame is in memory already.
func (f *FrameReader) Ready() bool {
	return bytes.Contains(f.buffer[f.start:f.end], []byte("\n\n"))
}

// findEnd returns the place after the blank line that ends the frame, or zero.
func (f *FrameReader) findEnd() int {
	for {
		i := bytes.IndexByte(f.buffer[f.scanned:f.end], '\n')
		if i < 0 {
			f.scanned = f.end
			return 0
		}
		stop := f.scanned + i
		text := trimReturn(f.buffer[f.line:stop])
		f.scanned, f.line = stop+1, stop+1
		if len(text) == 0 {
			return stop + 1
		}
	}
}

// fill reads more bytes, after making room for them.
func (f *FrameReader) fill() error {
	if f.end == len(f.buffer) {
		if err := f.makeRoom(); err != nil {
			return err
		}
	}
	n, err := f.source.Read(f.buffer[f.end:])
	f.end += n
	if n > 0 || err == nil {
		return nil
	}
	if err == io.EOF && f.end > f.start {
		return io.ErrUnexpectedEOF
	}
	return err
}

// makeRoom moves the open frame to the buffer's front, or doubles the buffer.
func (f *FrameReader) makeRoom() error {
	if f.start == 0 {
		if len(f.buffer) >= MaxFrameBytes {
			return ErrFrameTooLarge
		}
		f.buffer = append(f.buffer, make([]byte, len(f.buffer))...)
		return nil
	}
	copy(f.buffer, f.buffer[f.start:f.end])
	f.end -= f.start
	f.scanned -= f.start
	f.line -= f.start
	f.start = 0
	return nil
}

// parseEvent reads the id of an event with fields of any name.
func parseEvent(text []byte) (Frame, error) {
	frame := Frame{Text: text}
	for line := range bytes.Lines(text) {
		line = trimReturn(bytes.TrimSuffix(line, []byte("\n")))
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			frame.ID = parseID(trimSpace(value))
		}
	}
	if frame.ID == 0 && len(bytes.TrimSpace(text)) > 0 {
		return Frame{}, ErrFrameMalformed
	}
	return frame, nil
}

// parseFrame reads the lines of one frame.
func parseFrame(text []byte) (Frame, error) {
	var frame Frame
	for len(text) > 0 {
		stop := bytes.IndexByte(text, '\n')
		line := trimReturn(text[:stop])
		switch {
		case len(line) == 0:
			return checkFrame(frame)
		case line[0] == ':':
		case bytes.HasPrefix(line, []byte("id:")) && frame.ID == 0:
			frame.ID = parseID(trimSpace(line[len("id:"):]))
			if frame.ID == 0 {
				return Frame{}, ErrFrameMalformed
			}
		case bytes.HasPrefix(line, []byte("data:")) && frame.Text == nil:
			frame.Data = trimSpace(line[len("data:"):])
			frame.Text = text
		default:
			return Frame{}, ErrFrameMalformed
		}
		text = text[stop+1:]
	}
	return Frame{}, ErrFrameMalformed
}

// checkFrame accepts a frame with both id and data as its last lines, or with
// neither.
func checkFrame(frame Frame) (Frame, error) {
	if (frame.ID == 0) != (frame.Text == nil) {
		return Frame{}, ErrFrameMalformed
	}
	if frame.Text != nil && bytes.Count(frame.Text, []byte("\n")) != 2 {
		return Frame{}, ErrFrameMalformed
	}
	return frame, nil
}

// parseID reads a decimal number without leading zeros; zero stands for a
// malformed one.
func parseID(text []byte) uint64 {
	if len(text) == 0 || len(text) > maxIDDigits || text[0] == '0' {
		return 0
	}
	var id uint64
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return 0
		}
		id = id*10 + uint64(digit-'0')
	}
	return id
}

// maxIDDigits bounds the digits of an event's id, so that it fits its type.
const maxIDDigits = 18

// trimReturn drops the carriage return before a line's end.
func trimReturn(line []byte) []byte { return bytes.TrimSuffix(line, []byte("\r")) }

// trimSpace drops the one space that may follow a field's colon.
func trimSpace(value []byte) []byte { return bytes.TrimPrefix(value, []byte(" ")) }
