package relay

import (
	"net/http"
	"strconv"
)

// answer is a whole answer in memory.
type answer struct {
	status int
	header http.Header
	body   []byte
	// length is the length that the target stated, negative without one.
	length int64
}

// writeTo hands the answer to the caller.
func (s *answer) writeTo(c *call) error {
	c.relay.protocol.Return(c.writer.Header(), s.header)
	if len(s.body) > 0 || s.length == 0 {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
	}
	if mark := c.relay.opts.Mark; mark != nil {
		mark(c.writer)
	}
	c.writer.WriteHeader(s.status)
	c.handed()
	if _, err := c.writer.Write(s.body); err != nil {
		return err
	}
	return http.NewResponseController(c.writer).Flush()
}
