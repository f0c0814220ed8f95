package responsecheck

import (
	"io"
	"net"
	"sync/atomic"
)

var (
	errIncompleteHead = &Error{IncompleteHead, "the connection ended within its head"}
	errUnrequested    = &Error{Unrequested, "it began before its request was sent"}
)

// exchange is the use of a connection for one request.
type exchange struct {
	head head
	// headRead is set once the head is complete.
	headRead atomic.Bool
}

// read checks bytes of the response.
func (x *exchange) read(data []byte) error {
	err := x.head.read(data)
	x.headRead.Store(x.head.complete)
	return err
}

// conn is a connection that carries one exchange after the other. Its reads fail once a response
// is not well-formed.
type conn struct {
	net.Conn

	// exchange is the current exchange or the last one.
	exchange atomic.Pointer[exchange]
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection. It fails with an Error if what it read makes the response
// malformed.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	x := c.exchange.Load()
	if x == nil {
		return n, err
	}
	if !x.headRead.Load() {
		if err := x.read(data[:n]); err != nil {
			return 0, err
		}
	}
	if err == io.EOF {
		err = c.endOf(x)
	}
	return n, err
}

// endOf returns the error for the end of the connection: io.EOF if it is in order.
func (c *conn) endOf(x *exchange) error {
	switch {
	case !x.head.begun:
	case !x.head.complete:
		return errIncompleteHead
	}
	return io.EOF
}
