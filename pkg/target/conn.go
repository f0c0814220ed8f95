package target

import (
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// errSealed is what writes to a sealed connection fail with.
var errSealed = errors.New("connection was sealed after a failed exchange")

// conn counts the bytes that were handed to a connection. Sealing it settles
// the count, so that what was read of it stays true.
type conn struct {
	net.Conn

	mu sync.Mutex
	// written counts the bytes of every write that was begun.
	written int64
	// sealed refuses every later write.
	sealed bool
}

// Write counts the bytes and passes them on.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(data))
	c.mu.Unlock()
	return c.Conn.Write(data)
}

// count returns the bytes so far.
func (c *conn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal ends the connection's use and returns the bytes in all.
func (c *conn) seal() int64 {
	c.mu.Lock()
	c.sealed = true
	written := c.written
	c.mu.Unlock()
	_ = c.Close()
	return written
}
