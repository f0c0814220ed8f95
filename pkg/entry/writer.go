package entry

import (
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/claims"
)

// callerWriter is the way to the caller. It moves the write deadline along, so
// that a caller that stops reading is noticed.
type callerWriter struct {
	http.ResponseWriter

	controller *http.ResponseController
	timeout    time.Duration
	// until is the write deadline that is set at present.
	until time.Time
	// status is what the caller got; zero while nothing was sent.
	status int
	// recording keeps the answer's start in recorded.
	recording bool
	recorded  []byte
}

// newCallerWriter wraps a writer.
func newCallerWriter(w http.ResponseWriter, timeout time.Duration) *callerWriter {
	return &callerWriter{ResponseWriter: w, controller: http.NewResponseController(w), timeout: timeout}
}

// Unwrap returns the writer beneath, for http.ResponseController.
func (c *callerWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// WriteHeader notes the status and passes it on.
func (c *callerWriter) WriteHeader(status int) {
	c.status = status
	c.ResponseWriter.WriteHeader(status)
}

// Write passes a part of the answer on.
func (c *callerWriter) Write(data []byte) (int, error) {
	c.extend()
	if c.recording && len(c.recorded) <= claims.MaxAnswerBytes {
		c.recorded = append(c.recorded, data...)
	}
	return c.ResponseWriter.Write(data)
}

// FlushError sends what was written.
func (c *callerWriter) FlushError() error {
	c.extend()
	return c.controller.Flush()
}

// extend moves the deadline along once half of it has passed.
func (c *callerWriter) extend() {
	now := time.Now()
	if c.until.Sub(now) > c.timeout/2 {
		return
	}
	c.until = now.Add(c.timeout)
	// Writers that take no deadlines, as in tests, have no stalled callers.
	_ = c.controller.SetWriteDeadline(c.until)
}
