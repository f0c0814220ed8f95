package pipenet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network joins listeners and dialers by address.
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

// Listen returns a listener under an address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial connects to an address. It fails as a refused connection does.
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

// SilenceTargets makes the open connections silent for good, but for those to
// the given address: what is written to them is lost, and nothing comes out of
// them until they are closed.
func (n *Network) SilenceTargets(except string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.open {
		if c.to != except {
			c.silent.Store(true)
		}
	}
}

// Dials returns how many connections were asked for.
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

// forget drops a closed connection.
func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, c)
}
