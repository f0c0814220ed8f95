package target

import (
	"bytes"
	"io"

	"amaranthplank.example/amaranthplank/pkg/bytebudget"
)

const (
	// MaxFrameBytes bounds the size of one frame of a stream.
	MaxFrameBytes = 256 << 10
	// initialBufferBytes is the initial size of a reader's buffer.
	initialBufferBytes = 4 << 10
)

// FrameReader splits an engine's stream into frames. It is strict: a frame has an ID
// line followed by a data line, with comments allowed before the data line, or it
// has only comments.
type FrameReader struct {
	source io.Reader
	buffer []byte
	// start and end bound the bytes that were read and not returned yet.
	start, end int
	// scanned is the position up to which line ends were searched.
	scanned int
	// lineStart is the start of the line that contains scanned.
	lineStart int
	// blank is whether the current frame has only blank lines so far.
	blank bool
	// wholeEvents is set if frames are server-sent events, which are returned as their whole
	// text.
	wholeEvents bool
	// budget bounds the sum of the buffers beyond initialBufferBytes, of which held bytes
	// are this one's.
	budget *bytebudget.Budget
	held   int64
}

// NewFrameReader returns a reader of the stream in source.
func NewFrameReader(source io.Reader) *FrameReader {
	return &FrameReader{source: source, buffer: make([]byte, initialBufferBytes)}
}

// NewEventReader returns a reader that accepts any server-sent event with an ID.
// The Text of its frames is the whole event, with the blank lines before it. The buffer of the
// reader is taken from a budget, which may be nil, until Close.
func NewEventReader(source io.Reader, budget *bytebudget.Budget) *FrameReader {
	reader := NewFrameReader(source)
	reader.budget = budget
	reader.wholeEvents = true
	return reader
}

// Next returns the next frame. It returns io.EOF at the end of the stream, with the
// blank lines after the last event as the frame's Text, and io.ErrUnexpectedEOF if the
// stream ends within a frame.
func (f *FrameReader) Next() (Frame, error) {
	f.scanned, f.lineStart, f.blank = f.start, f.start, true
	for {
		if stop := f.findFrameEnd(); stop > 0 {
			text := f.buffer[f.start:stop]
			f.start = stop
			if f.wholeEvents {
				return parseEvent(text)
			}
			return parseFrame(text)
		}
		if err := f.fill(); err != nil {
			return Frame{Text: f.buffer[f.start:f.end]}, err
		}
	}
}

// Ready reports whether the next frame is already buffered. It may report false for one
// that is, and ignores blank lines, after which no frame need follow.
func (f *FrameReader) Ready() bool {
	buffered := bytes.TrimLeft(f.buffer[f.start:f.end], "\r\n")
	return bytes.Contains(buffered, []byte("\n\n"))
}

// findFrameEnd returns the position after the blank line that ends the frame, or
// zero if it isn't buffered yet.
func (f *FrameReader) findFrameEnd() int {
	for {
		i := bytes.IndexByte(f.buffer[f.scanned:f.end], '\n')
		if i < 0 {
			f.scanned = f.end
			return 0
		}
		stop := f.scanned + i
		text := trimCR(f.buffer[f.lineStart:stop])
		f.scanned, f.lineStart = stop+1, stop+1
		f.blank = f.blank && len(text) == 0
		if len(text) == 0 && (!f.blank || !f.wholeEvents) {
			return stop + 1
		}
	}
}

// fill reads more bytes, and makes room for them if the buffer is full.
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
	if err == io.EOF && f.end > f.start && !f.onlyBlankLines() {
		return io.ErrUnexpectedEOF
	}
	return err
}

// onlyBlankLines reports whether a stream of events has only blank lines since the last
// one, and ends with a line.
func (f *FrameReader) onlyBlankLines() bool {
	return f.wholeEvents && f.blank && f.lineStart == f.end
}

// makeRoom moves the current frame to the front of the buffer. If it is there
// already, makeRoom doubles the buffer. It fails with ErrFrameTooLarge at the frame's limit
// or if the budget is used up.
func (f *FrameReader) makeRoom() error {
	if f.start == 0 {
		if len(f.buffer) >= MaxFrameBytes || !f.budget.Take(int64(len(f.buffer))) {
			return ErrFrameTooLarge
		}
		f.held += int64(len(f.buffer))
		f.buffer = append(f.buffer, make([]byte, len(f.buffer))...)
		return nil
	}
	copy(f.buffer, f.buffer[f.start:f.end])
	f.end -= f.start
	f.scanned -= f.start
	f.lineStart -= f.start
	f.start = 0
	return nil
}

// Close frees the buffer. The reader can't be used any more.
func (f *FrameReader) Close() {
	f.budget.Release(f.held)
	f.held, f.buffer = 0, nil
}

// parseEvent parses an event, of which it reads only the ID. Each of its lines must be a comment
// or a field of an event, so that the head of a response within a stream is no part of one.
func parseEvent(text []byte) (Frame, error) {
	frame := Frame{Text: text}
	for line := range bytes.Lines(text) {
		name, value, _ := bytes.Cut(trimCR(bytes.TrimSuffix(line, []byte("\n"))), []byte(":"))
		switch {
		case len(name) == 0:
		case string(name) == "id" && frame.ID == 0:
			frame.ID = parseID(trimLeadingSpace(value))
			if frame.ID == 0 {
				return Frame{}, ErrFrameMalformed
			}
		case string(name) == "id" || !isEventField(name):
			return Frame{}, ErrFrameMalformed
		}
	}
	if frame.ID == 0 {
		return Frame{}, ErrFrameMalformed
	}
	return frame, nil
}

// isEventField reports whether an event may have a field of a name: those of server-sent events,
// and fields of targets, in lowercase and beginning with "x-".
func isEventField(name []byte) bool {
	switch string(name) {
	case "data", "event", "retry":
		return true
	}
	return bytes.HasPrefix(name, []byte("x-")) && bytes.Equal(name, bytes.ToLower(name)) && !bytes.ContainsAny(name, " \t")
}

// parseFrame parses the lines of one frame.
func parseFrame(text []byte) (Frame, error) {
	var frame Frame
	for len(text) > 0 {
		stop := bytes.IndexByte(text, '\n')
		line := trimCR(text[:stop])
		switch {
		case len(line) == 0:
			return checkFrame(frame)
		case line[0] == ':':
		case bytes.HasPrefix(line, []byte("id:")) && frame.ID == 0:
			frame.ID = parseID(trimLeadingSpace(line[len("id:"):]))
			if frame.ID == 0 {
				return Frame{}, ErrFrameMalformed
			}
		case bytes.HasPrefix(line, []byte("data:")) && frame.Text == nil:
			frame.Data = trimLeadingSpace(line[len("data:"):])
			frame.Text = text
		default:
			return Frame{}, ErrFrameMalformed
		}
		text = text[stop+1:]
	}
	return Frame{}, ErrFrameMalformed
}

// checkFrame rejects a frame that has only one of ID and data, or that has lines
// between the data line and the blank line.
func checkFrame(frame Frame) (Frame, error) {
	if (frame.ID == 0) != (frame.Text == nil) {
		return Frame{}, ErrFrameMalformed
	}
	if frame.Text != nil && bytes.Count(frame.Text, []byte("\n")) != 2 {
		return Frame{}, ErrFrameMalformed
	}
	return frame, nil
}

// parseID parses a decimal number without leading zeros. It returns zero if the
// number is malformed.
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

// maxIDDigits bounds the digits of an event's ID, so that it fits into a uint64.
const maxIDDigits = 18

// trimCR removes the carriage return at the end of a line.
func trimCR(line []byte) []byte { return bytes.TrimSuffix(line, []byte("\r")) }

// trimLeadingSpace removes the single space that may follow a field's colon.
func trimLeadingSpace(value []byte) []byte { return bytes.TrimPrefix(value, []byte(" ")) }
