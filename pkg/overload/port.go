package overload

import (
	"container/list"
	"net"
	"net/http"
	"time"
)

// Port bounds the connections at one port. A connection is counted from when it is accepted until it
// is closed.
type Port struct {
	budget *Budget
	// class is the name in metrics and logs, most the most connections, or zero without a limit.
	class string
	most  int
	// The following are guarded by budget.mu. units counts the connections, those over HTTP/2 with
	// multiplexedUnits each, which multiplexed counts too.
	units, multiplexed int
	conns              map[*Conn]struct{}
	// quiet are the connections without a request, the longest quiet first: those of strangers, and
	// those over which a known caller has sent a request.
	strangers, known *list.List
}

// newPort returns a port without connections.
func (b *Budget) newPort(class string, most int) *Port {
	p := &Port{budget: b, class: class, most: most, conns: make(map[*Conn]struct{}), strangers: list.New(), known: list.New()}
	b.ports = append(b.ports, p)
	return p
}

// Callers is the port of callers.
func (b *Budget) Callers() *Port { return b.callers }

// Readiness is the port of the balancer's readiness checks.
func (b *Budget) Readiness() *Port { return b.readiness }

// Operator is the port of the operator API.
func (b *Budget) Operator() *Port { return b.operator }

// Peers is the port of other daemons.
func (b *Budget) Peers() *Port { return b.peers }

// Listener returns a listener whose connections the port bounds. A nil port has no bound.
func (p *Port) Listener(inner net.Listener) net.Listener {
	if p == nil {
		return inner
	}
	return &listener{Listener: inner, port: p}
}

// listener accepts the connections for which there is room.
type listener struct {
	net.Listener

	port *Port
}

// Accept returns the next connection. One without room is closed before anything is read from it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: inner, port: l.port}
		if l.port.admit(c) {
			return c, nil
		}
		_ = inner.Close()
	}
}

// admit counts a new connection. It reports false if there is no room.
func (p *Port) admit(c *Conn) bool {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !p.makeRoom(1, c) {
		return false
	}
	p.units++
	c.units = 1
	p.conns[c] = struct{}{}
	p.addQuiet(c)
	return true
}

// makeRoom has connections give way until there is room for more units. It reports false if none
// may. b.mu must be held.
func (p *Port) makeRoom(units int, c *Conn) bool {
	for p.most > 0 && p.units+units > p.most {
		victim := p.worst(c, time.Now())
		if victim == nil {
			p.budget.metrics.refused(p.class, int64(p.units), int64(p.most))
			return false
		}
		p.budget.metrics.evicted(p.class, int64(p.units), int64(p.most))
		victim.evict()
	}
	return true
}

// worst returns the connection that gives way first, or nil if none may. b.mu must be held.
func (p *Port) worst(except *Conn, now time.Time) *Conn {
	for _, quiet := range []*list.List{p.strangers, p.known} {
		for place := quiet.Front(); place != nil; place = place.Next() {
			if c, _ := place.Value.(*Conn); c != except {
				return c
			}
		}
	}
	var worst *Conn
	longest := unreadAfter
	for c := range p.conns {
		if unread := c.unread(now); unread > longest {
			worst, longest = c, unread
		}
	}
	if worst != nil {
		return worst
	}
	return p.worstBusy(now)
}

// worstBusy returns the connection whose one request gives way first. b.mu must be held.
func (p *Port) worstBusy(now time.Time) *Conn {
	var worst *Conn
	most := 0.0
	for h := range p.budget.holds {
		if h.conn == nil || h.conn.port != p || h.conn.multiplexed {
			continue
		}
		if weight := h.weight(now); weight > most {
			worst, most = h.conn, weight
		}
	}
	return worst
}

// addQuiet records that a connection has no request. b.mu must be held.
func (p *Port) addQuiet(c *Conn) {
	p.removeQuiet(c)
	if c.closed {
		return
	}
	c.list = p.strangers
	if c.known.Load() {
		c.list = p.known
	}
	c.place = c.list.PushBack(c)
}

// removeQuiet records that a connection has a request or is closed. b.mu must be held.
func (p *Port) removeQuiet(c *Conn) {
	if c.place != nil {
		c.list.Remove(c.place)
		c.place = nil
	}
}

// Changed records the state of a connection of a Port. It is the ConnState of the port's server.
func Changed(conn net.Conn, state http.ConnState) {
	c := portConn(conn)
	if c == nil {
		return
	}
	c.port.budget.mu.Lock()
	defer c.port.budget.mu.Unlock()
	switch state {
	case http.StateActive, http.StateHijacked:
		c.port.removeQuiet(c)
		c.headEnds()
		c.uncharged.Store(true)
	case http.StateIdle:
		c.uncharged.Store(c.multiplexed)
		c.port.addQuiet(c)
	case http.StateNew, http.StateClosed:
	}
}
