package pipenet

import (
	"net"
	"sync"
)

// listener hands out the far ends of dialled connections.
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

// Close ends the listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address as it was asked for.
func (l *listener) Addr() net.Addr { return address(l.address) }

// address is a network address in memory.
type address string

// Network names the kind of network.
func (a address) Network() string { return "pipe" }

// String returns the address.
func (a address) String() string { return string(a) }
