package pipenet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network connects dialers to listeners by address.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	open      map[*conn]struct{}
	refused   map[string]bool
	dials     int
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: make(map[string]*listener), open: make(map[*conn]struct{}), refused: make(map[string]bool)}
}

// Listen returns a listener at an address, replacing an earlier one.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial connects to an address. It fails with ECONNREFUSED if the address has no
// listener, its listener is closed or it refuses connections.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	n.dials++
	l := n.listeners[address]
	if n.refused[address] {
		l = nil
	}
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	near, far := n.pair(address)
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
}

// Refuse sets whether an address refuses new connections.
func (n *Network) Refuse(address string, refused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused[address] = refused
}

// SilenceAllExcept makes all open connections silent until they are closed, except
// those to the given address. Data written to a silent connection is dropped, and
// reads block until it is closed.
func (n *Network) SilenceAllExcept(except string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.open {
		if c.to != except {
			c.silent.Store(true)
		}
	}
}

// Dials returns the number of calls of Dial so far.
func (n *Network) Dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// pair returns the two ends of a new connection.
func (n *Network) pair(to string) (*conn, *conn) {
	a, b := net.Pipe()
	near, far := &conn{Conn: a, network: n, to: to}, &conn{Conn: b, network: n, to: to}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open[near] = struct{}{}
	n.open[far] = struct{}{}
	return near, far
}

// removeConn removes a closed connection.
func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, c)
}
