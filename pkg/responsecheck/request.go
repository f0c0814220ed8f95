package responsecheck

import (
	"io"
	"net/http"
	"sync/atomic"
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

// watch records in the state when the transport has read the body of a request, which it may
// change.
func (s *requestState) watch(r *http.Request) *http.Request {
	if r.Body == nil || r.Body == http.NoBody {
		s.taken.Store(true)
		return r
	}
	wrap := func(body io.ReadCloser) io.ReadCloser {
		left := r.ContentLength
		if left == 0 {
			left = -1
		}
		return &requestBody{ReadCloser: body, state: s, left: left}
	}
	r.Body = wrap(r.Body)
	if again := r.GetBody; again != nil {
		r.GetBody = func() (io.ReadCloser, error) {
			body, err := again()
			if err != nil {
				return nil, err
			}
			s.taken.Store(false)
			return wrap(body), nil
		}
	}
	return r
}
