package pipenet

import (
	"net"
	"sync/atomic"
)

// conn is one end of a connection.
type conn struct {
	net.Conn

	network *Network
	// to is the address that was dialled.
	to string
	// silent makes writes vanish.
	silent atomic.Bool
}

// Write passes bytes to the other end, or loses them.
func (c *conn) Write(data []byte) (int, error) {
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close closes this end.
func (c *conn) Close() error {
	c.network.forget(c)
	return c.Conn.Close()
}
