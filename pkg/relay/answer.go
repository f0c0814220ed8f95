package relay

import (
	"net/http"
	"strconv"

	"amaranthplank.example/amaranthplank/pkg/request"
)

// answer is a whole answer in memory.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// returned lists the targets' headers that callers get.
var returned = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location", "Retry-After",
}

// copyHeader sets the headers that callers get.
func copyHeader(to, from http.Header) {
	for _, name := range returned {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}

// writeTo hands the answer to the caller.
func (s *answer) writeTo(c *call) error {
	copyHeader(c.writer.Header(), s.header)
	if len(s.body) > 0 {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
	}
	c.writer.Header().Set(request.HeaderOutcome, string(request.Answered))
	c.writer.WriteHeader(s.status)
	c.handed()
	if _, err := c.writer.Write(s.body); err != nil {
		return err
	}
	return http.NewResponseController(c.writer).Flush()
}
