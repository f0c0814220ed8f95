package overload

import (
	"io"
	"log"
	"net/http"
	"time"
)

const (
	// serverHeadBytes bounds the head of a request at ports other than that of callers.
	serverHeadBytes = 16 << 10
	// serverIdleTimeout closes idle connections there, and serverWriteTimeout a connection whose
	// answer is not read.
	serverIdleTimeout  = time.Minute
	serverWriteTimeout = 5 * time.Second
	// serverReadTimeout bounds the time to read a whole request there, and serverTimeout the time
	// until its answer ends.
	serverReadTimeout = 30 * time.Second
	serverTimeout     = time.Minute
)

// NewServer returns a server for a port other than that of callers, which takes at most headTimeout
// for the head of a request. Its requests have no bodies to speak of.
func NewServer(handler http.Handler, headTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler: withWriteDeadlines(handler), ReadHeaderTimeout: headTimeout, ReadTimeout: serverReadTimeout, WriteTimeout: serverTimeout,
		IdleTimeout: serverIdleTimeout, MaxHeaderBytes: serverHeadBytes,
		ConnState: Changed, ConnContext: ConnContext, ErrorLog: log.New(io.Discard, "", 0),
	}
}

// withWriteDeadlines bounds the time of each write of a handler.
func withWriteDeadlines(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(&deadlineWriter{ResponseWriter: w, controller: http.NewResponseController(w)}, r)
	})
}

// deadlineWriter sets a new deadline before each write.
type deadlineWriter struct {
	http.ResponseWriter

	controller *http.ResponseController
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (d *deadlineWriter) Unwrap() http.ResponseWriter { return d.ResponseWriter }

// Write writes a part of the body.
func (d *deadlineWriter) Write(data []byte) (int, error) {
	// Writers without deadline support, such as those of tests, have no slow callers.
	_ = d.controller.SetWriteDeadline(time.Now().Add(serverWriteTimeout))
	return d.ResponseWriter.Write(data)
}

// WriteHeader sends the status, also of a response without a body.
func (d *deadlineWriter) WriteHeader(status int) {
	_ = d.controller.SetWriteDeadline(time.Now().Add(serverWriteTimeout))
	d.ResponseWriter.WriteHeader(status)
}
