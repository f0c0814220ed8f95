package target

import "io"

// body is a request body of a type for which the transport has no special case.
// Even an empty one is not http.NoBody, so that the transport never considers a
// request safe to retry.
type body struct {
	reader io.Reader
}

// NewBody returns a body that is read from a reader.
func NewBody(reader io.Reader) io.ReadCloser { return &body{reader: reader} }

// Read reads the next bytes.
func (b *body) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close does nothing.
func (b *body) Close() error { return nil }
