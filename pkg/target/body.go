package target

import (
	"bytes"
	"io"
)

// body is a request body of a type for which the transport has no special case.
// Even an empty one is not http.NoBody, so that the transport never considers a
// request safe to retry.
type body struct {
	reader *bytes.Reader
}

// NewBody returns a body with the given bytes.
func NewBody(data []byte) io.ReadCloser { return &body{reader: bytes.NewReader(data)} }

// Read reads the next bytes.
func (b *body) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close does nothing.
func (b *body) Close() error { return nil }
