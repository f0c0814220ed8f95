package responsecheck

import (
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// trailedBody is a response's body in chunks, which trailers may follow.
type trailedBody struct {
	io.ReadCloser

	response *http.Response
}

// errTrailer is the error of a response with a malformed trailer.
var errTrailer = &Error{MalformedField, "the name of a trailer is not a token"}

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
