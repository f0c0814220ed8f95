package pipenet

import (
	"net"
	"sync"
)

// listener accepts the remote ends of dialed connections.
type listener struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener. Later dials of its address are refused.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address that was given to Listen.
func (l *listener) Addr() net.Addr { return address(l.address) }

// address is an address in a Network. It implements net.Addr.
type address string

// Network returns "pipe".
func (a address) Network() string { return "pipe" }

// String returns the address.
func (a address) String() string { return string(a) }
