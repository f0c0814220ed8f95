package entry

import (
	"io"
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

// readBody reads a bounded body within the timeout. A body that is not read to
// its end leaves the deadline in place, so that nothing waits for the rest.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	controller := http.NewResponseController(w)
	// Writers that take no deadlines, as in tests, have no slow callers.
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the body could not be read", "send the whole body without pauses")
	}
	if int64(len(body)) > limit {
		return nil, errBodyTooLarge
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// errBodyTooLarge tells the caller of the bound on bodies.
var errBodyTooLarge = fault.New(fault.TooLarge, "the body is too large", "send a smaller body")
