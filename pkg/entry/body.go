package entry

import (
	"io"
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

// readBody reads a body of at most limit bytes within the timeout. On failure
// the read deadline stays set, so that the server does not wait for the rest of
// the body.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	controller := http.NewResponseController(w)
	// The error is ignored: writers without deadline support, such as those of
	// tests, have no slow callers.
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	body, err := readAll(r, limit)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "failed to read the request body", "send the whole body without pauses")
	}
	if int64(len(body)) > limit {
		return nil, errBodyTooLarge
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// readAll reads a body of its stated length, or of up to one byte more than limit. The memory of
// a body whose length is known is allocated once.
func readAll(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength < 0 {
		return io.ReadAll(io.LimitReader(r.Body, limit+1))
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

// errBodyTooLarge is returned for a body above the size limit.
var errBodyTooLarge = fault.New(fault.TooLarge, "the request body is too large", "send a smaller body")
