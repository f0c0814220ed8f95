package relay

import (
	"net/http"
	"strconv"
)

// bufferedResponse is a response held in memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// whole is whether body is all of the response's.
	whole bool
	// length is the content length of the response, negative if unknown.
	length int64
}

// writeTo writes the response to the caller.
func (b *bufferedResponse) writeTo(c *call) error {
	c.relay.protocol.CopyHeaders(c.writer.Header(), b.header)
	if len(b.body) > 0 || b.length == 0 {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	}
	if mark := c.relay.opts.MarkComplete; mark != nil {
		mark(c.writer)
	}
	c.writer.WriteHeader(b.status)
	c.markDelivered()
	if _, err := c.writer.Write(b.body); err != nil {
		return err
	}
	return http.NewResponseController(c.writer).Flush()
}
