package responsecheck

import (
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// requestState is how far a request was taken by the transport.
type requestState struct {
	// taken is whether all of the body was read.
	taken atomic.Bool
}

// requestBody is a request's body that records when all of it was read.
type requestBody struct {
	io.ReadCloser

	state *requestState
	// left is how many bytes follow, negative if that is not known.
	left int64
}

// Read reads the body.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left >= 0 {
		b.left = max(b.left-int64(n), 0)
	}
	if err == io.EOF || b.left == 0 {
		b.state.taken.Store(true)
	}
	return n, err
}

// trailedBody is a response's body in chunks, which trailers may follow.
type trailedBody struct {
	io.ReadCloser

	response *http.Response
}

// errTrailer is the error of a response with a malformed trailer.
var errTrailer = &Error{BrokenField, "the name of a trailer is not a token"}

// Read reads the body. It fails at the end if a trailer is malformed.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	for name := range b.response.Trailer {
		if !httpguts.ValidTrailerHeader(name) || !httpguts.ValidHeaderFieldName(name) {
			return n, errTrailer
		}
	}
	return n, err
}

// ErrTooLarge means that a response's body exceeds a reader's limit.
var ErrTooLarge = errors.New("the response exceeds the size limit")

// ReadAll reads a body to its end. It fails with ErrTooLarge if it has more bytes than the limit.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(text)) > limit {
		err = ErrTooLarge
	}
	return text, err
}

// DecodeJSON decodes a body of at most limit bytes that is one JSON value, once all of it was read.
// It fails like ReadAll.
func DecodeJSON(body io.Reader, limit int64, into any) error {
	text, err := ReadAll(body, limit)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, into)
}
