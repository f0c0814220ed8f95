package overload

import (
	"bytes"
	"container/list"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// lineBytes is what a line of a head takes besides its text, and textCopies how many times its
// text is held while it is read.
const (
	lineBytes  = fieldBytes + valueBytes
	textCopies = 2
)

// multiplexedPreface is how a connection over HTTP/2 begins.
const multiplexedPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// Conn is a connection of a Port. It charges the heads of requests as they are read.
type Conn struct {
	net.Conn

	port *Port
	// known is set once a request with a valid key came on the connection.
	known atomic.Bool
	// writingSince is when a write began that has not ended, in Unix nanoseconds, or zero.
	writingSince atomic.Int64
	// uncharged is set while what is read belongs to no head of HTTP/1.1.
	uncharged atomic.Bool
	// matched is how much of multiplexedPreface the connection began with, or negative if it began
	// otherwise. Only Read uses it.
	matched int
	// streams are those of a connection over HTTP/2, or nil.
	streams atomic.Pointer[streams]
	// The following are guarded by port.budget.mu.
	multiplexed bool
	closed      bool
	units       int
	headBytes   int64
	// list and place are those of a connection without a request.
	list  *list.List
	place *list.Element
}

// Read reads from the connection. It fails with io.EOF if there is no room for the head that is
// being read, or if too many streams are open whose requests have not begun.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.charge(p[:n]) {
		_ = c.Close()
		return 0, io.EOF
	}
	return n, err
}

// observeStreams counts the streams that are opened by bytes over HTTP/2. It reports false if too many
// are open whose requests have not begun.
func (c *Conn) observeStreams(s *streams, text []byte) bool {
	s.observe(text)
	if s.await() {
		return true
	}
	b := c.port.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.metrics.refused("pending streams", s.pending.Load(), maxPendingStreams)
	return false
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writingSince.Store(time.Now().UnixNano())
	n, err := c.Conn.Write(p)
	c.writingSince.Store(0)
	return n, err
}

// unread returns for how long the present write has not ended, or zero if there is none.
func (c *Conn) unread(now time.Time) time.Duration {
	since := c.writingSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// charge counts bytes that were read if they belong to a head. It reports false if there is no room.
func (c *Conn) charge(text []byte) bool {
	if s := c.streams.Load(); s != nil {
		return c.observeStreams(s, text)
	}
	if c.uncharged.Load() {
		return true
	}
	multiplexes := c.begins(text)
	b := c.port.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case c.closed:
		return false
	case multiplexes:
		return c.multiplex()
	}
	return b.takeHead(c, textCopies*int64(len(text))+lineBytes*int64(bytes.Count(text, []byte{'\n'})))
}

// begins reports whether the first bytes of the connection, of which text are the next ones, are
// multiplexedPreface.
func (c *Conn) begins(text []byte) bool {
	if c.matched < 0 || c.matched == len(multiplexedPreface) {
		return false
	}
	next := multiplexedPreface[c.matched:]
	length := min(len(next), len(text))
	if string(text[:length]) != next[:length] {
		c.matched = -1
		return false
	}
	c.matched += length
	return c.matched == len(multiplexedPreface)
}

// multiplex counts a connection as one over HTTP/2. It reports false if there is no room. b.mu must
// be held.
func (c *Conn) multiplex() bool {
	p := c.port
	const more = multiplexedUnits - 1
	if p.most > 0 && p.multiplexed+multiplexedUnits > int(multiplexedShare*float64(p.most)) {
		p.budget.metrics.refused(p.class, int64(p.units), int64(p.most))
		return false
	}
	if !p.makeRoom(more, c) {
		return false
	}
	p.units += more
	p.multiplexed += multiplexedUnits
	c.units, c.multiplexed = multiplexedUnits, true
	c.uncharged.Store(true)
	c.streams.Store(newStreams())
	c.headEnds()
	return true
}

// takeHead counts bytes of a head. If they don't fit, the connection with the largest head gives way.
// It reports false if that is c. b.mu must be held.
func (b *Budget) takeHead(c *Conn, more int64) bool {
	c.headBytes += more
	b.heads.add("", more)
	for b.heads.most > 0 && b.heads.held > b.heads.most {
		victim := b.largestHead(c)
		if victim == c {
			b.metrics.refused(b.heads.name, b.heads.held, b.heads.most)
			c.headEnds()
			return false
		}
		b.metrics.evicted(b.heads.name, b.heads.held, b.heads.most)
		victim.evict()
	}
	return true
}

// largestHead returns the connection with the largest head that is being read: c, unless another has
// a larger one. b.mu must be held.
func (b *Budget) largestHead(c *Conn) *Conn {
	for _, p := range b.ports {
		for _, quiet := range []*list.List{p.strangers, p.known} {
			for place := quiet.Front(); place != nil; place = place.Next() {
				if other, _ := place.Value.(*Conn); other.headBytes > c.headBytes {
					c = other
				}
			}
		}
	}
	return c
}

// headEnds no longer counts the head that was read. b.mu must be held.
func (c *Conn) headEnds() {
	c.port.budget.heads.add("", -c.headBytes)
	c.headBytes = 0
}

// evict closes the connection to make room. b.mu must be held.
func (c *Conn) evict() {
	c.forget()
	_ = c.Conn.Close()
}

// forget no longer counts the connection. b.mu must be held.
func (c *Conn) forget() {
	if c.closed {
		return
	}
	c.closed = true
	c.headEnds()
	c.port.removeQuiet(c)
	c.port.units -= c.units
	if c.multiplexed {
		c.port.multiplexed -= c.units
	}
	delete(c.port.conns, c)
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.port.budget.mu.Lock()
	c.forget()
	c.port.budget.mu.Unlock()
	return c.Conn.Close()
}
