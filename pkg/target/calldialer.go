package target

import (
	"context"
	"net"
	"sync/atomic"
)

// DialCall connects like NewDialer's dialer, for calls that must not take effect after their
// caller has given them up. The kernel keeps sending what was written to a connection that was
// closed in order, for as long as the path is cut. So a connection that is closed before the other
// end has answered is reset: the kernel discards what was not delivered.
func DialCall(ctx context.Context, network, address string) (net.Conn, error) {
	return dialCall(ctx, network, address, func() error { return nil })
}

// NewCheckedDial returns a Dial like DialCall, for connections that each bring one call. A
// connection writes nothing more once check fails for the context of its call, and the write
// fails with that error.
func NewCheckedDial(check func(ctx context.Context) error) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialCall(ctx, network, address, func() error { return check(ctx) })
	}
}

// dialCall makes a connection that writes only while check returns nil.
func dialCall(ctx context.Context, network, address string, check func() error) (net.Conn, error) {
	c, err := NewDialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &callConn{Conn: c, check: check}, nil
}

// callConn is a connection of DialCall or NewCheckedDial.
type callConn struct {
	net.Conn

	// check fails if nothing more may be written.
	check func() error
	// unanswered is set from a write until the other end sends something.
	unanswered atomic.Bool
}

// NetConn returns the connection below.
func (c *callConn) NetConn() net.Conn { return c.Conn }

// Write writes to the connection.
func (c *callConn) Write(data []byte) (int, error) {
	if err := c.check(); err != nil {
		return 0, err
	}
	c.unanswered.Store(true)
	return c.Conn.Write(data)
}

// Read reads from the connection.
func (c *callConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.unanswered.Store(false)
	}
	return n, err
}

// Close closes the connection, by a reset if a call is unanswered.
func (c *callConn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.unanswered.Load() {
		_ = tcp.SetLinger(0)
	}
	return c.Conn.Close()
}
