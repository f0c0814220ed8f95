package entry

import (
	"io"
	"net/http"
	"time"
)

const (
	// discardTimeout bounds how long a refusal waits for the rest of a body.
	discardTimeout = 50 * time.Millisecond
	// maxDiscardedBytes bounds the rest of a body that is read for the connection to be
	// kept.
	maxDiscardedBytes = 256 << 10
)

// discardBody reads the rest of the body of a request that is refused. If it does not come
// whole within discardTimeout, or its caller waits to be asked for it, the connection is
// closed after the response: net/http would otherwise wait for the body before it sends
// the response.
func (s *session) discardBody() {
	if s.httpReq.Body == http.NoBody {
		return
	}
	if s.httpReq.Header.Get("Expect") != "" {
		s.writer.Header().Set("Connection", "close")
		return
	}
	controller := http.NewResponseController(s.writer.ResponseWriter)
	// Writers without deadline support, such as those of tests, have whole bodies.
	_ = controller.SetReadDeadline(time.Now().Add(discardTimeout))
	discarded, err := io.Copy(io.Discard, io.LimitReader(s.httpReq.Body, maxDiscardedBytes))
	if err != nil || discarded == maxDiscardedBytes {
		s.writer.Header().Set("Connection", "close")
		return
	}
	_ = controller.SetReadDeadline(time.Time{})
}
