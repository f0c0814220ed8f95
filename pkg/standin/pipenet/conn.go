package pipenet

import (
	"net"
	"sync/atomic"
)

// conn is one end of a connection.
type conn struct {
	net.Conn

	network *Network
	// to is the dialed address, on both ends.
	to string
	// silent makes writes succeed while their bytes are dropped.
	silent atomic.Bool
}

// Write sends bytes to the other end, or drops them if the connection is silent.
func (c *conn) Write(data []byte) (int, error) {
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close closes this end and removes it from the network's open connections.
func (c *conn) Close() error {
	c.network.removeConn(c)
	return c.Conn.Close()
}
