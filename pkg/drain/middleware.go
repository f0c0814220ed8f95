package drain

import (
	"net/http"
	"time"
)

// trackRequests counts running requests and, once a stop was requested, has
// connections closed after the response. On HTTP/2 the Connection: close header
// makes the server send GOAWAY.
func (s *Server) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.running.Add(1)
		defer s.running.Add(-1)
		s.lastRequestAt.Store(int64(time.Since(s.createdAt)))
		if s.draining() {
			w.Header().Set("Connection", "close")
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(&closingWriter{ResponseWriter: w, server: s}, r)
	})
}

// closingWriter sets Connection: close on responses that start after a stop was
// requested.
type closingWriter struct {
	http.ResponseWriter

	server  *Server
	started bool
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (c *closingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (c *closingWriter) WriteHeader(status int) {
	c.start()
	c.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (c *closingWriter) Write(data []byte) (int, error) {
	c.start()
	return c.ResponseWriter.Write(data)
}

// start sets the Connection header if the response has not started yet and a stop
// was requested.
func (c *closingWriter) start() {
	if !c.started && c.server.draining() {
		c.Header().Set("Connection", "close")
	}
	c.started = true
}
