package target

import (
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// errSealed is returned by writes to a sealed connection.
var errSealed = errors.New("connection is closed for writing after a failed exchange")

// countingConn counts the bytes written to a connection. Once it is sealed, the
// count doesn't change any more.
type countingConn struct {
	net.Conn

	mu sync.Mutex
	// written counts the bytes of every write that was started, whether or not it
	// succeeded.
	written int64
	// sealed makes every later write fail.
	sealed bool
}

// NetConn returns the connection below.
func (c *countingConn) NetConn() net.Conn { return c.Conn }

// Write counts the bytes and writes them to the connection.
func (c *countingConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(data))
	c.mu.Unlock()
	return c.Conn.Write(data)
}

// bytesWritten returns the number of bytes written so far.
func (c *countingConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal makes later writes fail, closes the connection and returns the final number
// of bytes written.
func (c *countingConn) seal() int64 {
	c.mu.Lock()
	c.sealed = true
	written := c.written
	c.mu.Unlock()
	_ = c.Close()
	return written
}
