package drain

import (
	"net/http"
	"time"
)

// wrap counts requests, and has connections closed after their answer once a
// stop was asked for. On HTTP/2 the header makes the server announce the end.
func (s *Server) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.running.Add(1)
		defer s.running.Add(-1)
		s.lastAt.Store(time.Now().UnixNano())
		if s.draining() {
			w.Header().Set("Connection", "close")
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(&closingWriter{ResponseWriter: w, server: s}, r)
	})
}

// closingWriter sets Connection: close on answers that begin after a stop was
// asked for.
type closingWriter struct {
	http.ResponseWriter

	server *Server
	begun  bool
}

// Unwrap returns the writer beneath, for http.ResponseController.
func (c *closingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// WriteHeader begins the answer.
func (c *closingWriter) WriteHeader(status int) {
	c.begin()
	c.ResponseWriter.WriteHeader(status)
}

// Write begins the answer where that was not done.
func (c *closingWriter) Write(data []byte) (int, error) {
	c.begin()
	return c.ResponseWriter.Write(data)
}

// begin sets the header once.
func (c *closingWriter) begin() {
	if !c.begun && c.server.draining() {
		c.Header().Set("Connection", "close")
	}
	c.begun = true
}
