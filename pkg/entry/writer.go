package entry

import (
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/claims"
	"amaranthplank.example/amaranthplank/pkg/overload"
)

// callerWriter is the ResponseWriter of a caller. It extends the write deadline
// with each write, so that writes to a caller that stops reading fail.
type callerWriter struct {
	http.ResponseWriter

	controller *http.ResponseController
	timeout    time.Duration
	// deadline is the current write deadline.
	deadline time.Time
	// status is the status code that was sent; zero before that.
	status int
	// hold is what the request holds, or nil.
	hold *overload.Hold
	// recording enables copying the start of the body to recorded.
	recording bool
	recorded  []byte
}

// newCallerWriter wraps w.
func newCallerWriter(w http.ResponseWriter, timeout time.Duration) *callerWriter {
	return &callerWriter{ResponseWriter: w, controller: http.NewResponseController(w), timeout: timeout}
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (c *callerWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// WriteHeader records the status and sends it.
func (c *callerWriter) WriteHeader(status int) {
	c.status = status
	c.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body. While recording is on, it also copies the
// part; it stops copying once the copy is too large for a claim to store.
func (c *callerWriter) Write(data []byte) (int, error) {
	c.extendDeadline()
	defer c.hold.Written()
	if c.recording && len(c.recorded) <= claims.MaxResponseBytes {
		c.recorded = append(c.recorded, data...)
	}
	return c.ResponseWriter.Write(data)
}

// FlushError flushes buffered data to the caller.
func (c *callerWriter) FlushError() error {
	c.extendDeadline()
	defer c.hold.Written()
	return c.controller.Flush()
}

// extendDeadline sets a new write deadline once half of the timeout has passed.
func (c *callerWriter) extendDeadline() {
	now := time.Now()
	c.hold.Writing(now)
	if c.deadline.Sub(now) > c.timeout/2 {
		return
	}
	c.deadline = now.Add(c.timeout)
	// The error is ignored: writers without deadline support, such as those of
	// tests, have no stalled callers.
	_ = c.controller.SetWriteDeadline(c.deadline)
}
