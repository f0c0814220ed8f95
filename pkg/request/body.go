package request

import (
	"bytes"
	"io"
)

// Body is the body of a request in pieces, which are never joined: a long one is held once.
type Body struct {
	pieces [][]byte
	length int
}

// NewBody returns a body of one piece, which it keeps.
func NewBody(text []byte) Body {
	var b Body
	b.Append(text)
	return b
}

// Append adds a piece, which the body keeps.
func (b *Body) Append(piece []byte) {
	if len(piece) == 0 {
		return
	}
	b.pieces = append(b.pieces, piece)
	b.length += len(piece)
}

// Len returns the length in bytes.
func (b Body) Len() int { return b.length }

// Reader returns a reader of the whole body. Readers are independent of each other.
func (b Body) Reader() io.Reader {
	if len(b.pieces) == 1 {
		return bytes.NewReader(b.pieces[0])
	}
	readers := make([]io.Reader, len(b.pieces))
	for i, piece := range b.pieces {
		readers[i] = bytes.NewReader(piece)
	}
	return io.MultiReader(readers...)
}

// Text returns the whole body in one piece, a copy if there are several.
func (b Body) Text() []byte {
	if len(b.pieces) == 1 {
		return b.pieces[0]
	}
	return bytes.Join(b.pieces, nil)
}

// WriteTo writes the whole body.
func (b Body) WriteTo(w io.Writer) (written int64, err error) {
	for _, piece := range b.pieces {
		n, err := w.Write(piece)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Contains reports whether the body contains a text, also across pieces.
func (b Body) Contains(text []byte) bool {
	var end []byte
	for _, piece := range b.pieces {
		if bytes.Contains(piece, text) {
			return true
		}
		// What spans pieces begins in the last bytes of those before.
		begin := piece[:min(len(piece), len(text))]
		if bytes.Contains(append(end, begin...), text) {
			return true
		}
		end = append(end, piece[max(0, len(piece)-len(text)):]...)
		end = bytes.Clone(end[max(0, len(end)-len(text)):])
	}
	return len(text) == 0
}
