package target

import (
	"context"
	"net"
	"sync/atomic"

	"amaranthplank.example/amaranthplank/pkg/lease"
)

// DialCall connects like NewDialer's dialer, for calls that must not take effect after their
// caller has given them up. The kernel keeps sending what was written to a connection that was
// closed in order, for as long as the path is cut. So a connection that is closed before the other
// end has answered is reset: the kernel discards what was not delivered.
func DialCall(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := NewDialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &callConn{Conn: c, check: func() error { return nil }}, nil
}

// DialDutyCall connects like DialCall, for one call of a duty, whose connection is not used for
// others. A write fails with lease.ErrLost once the authority that ctx carries has ended, so that
// a process that stood still after it had begun the call sends nothing.
func DialDutyCall(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := NewDialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &callConn{Conn: c, check: func() error { return lease.CheckCall(ctx) }}, nil
}

// callConn is a connection of DialCall or DialDutyCall.
type callConn struct {
	net.Conn

	// check fails if nothing more may be written.
	check func() error
	// unanswered is set from a write until the other end sends something.
	unanswered atomic.Bool
}

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
