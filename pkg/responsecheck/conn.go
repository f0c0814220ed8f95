package responsecheck

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

var (
	errIncompleteHead = &Error{IncompleteHead, "the connection ended within its head"}
	errEarlyEnd       = &Error{EarlyEnd, "the connection ended before the server had received the request"}
	errUnrequested    = &Error{Unrequested, "it began before its request was sent"}
)

// exchange is the use of a connection for one request.
type exchange struct {
	request *requestState
	head    head
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
	// writing is held during a write.
	writing sync.Mutex
	// writeFailed is whether a write has failed.
	writeFailed bool
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Write writes to the connection.
func (c *conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	c.writeFailed = c.writeFailed || err != nil
	return n, err
}

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
	if errors.Is(err, io.EOF) {
		err = c.endOf(x)
	}
	return n, err
}

// endOf returns the error for the end of the connection: io.EOF if it is in order. It does not
// judge another protocol that the connection was switched to.
func (c *conn) endOf(x *exchange) error {
	switch {
	case !x.head.begun, x.head.status == http.StatusSwitchingProtocols:
	case !x.head.complete:
		return errIncompleteHead
	case !x.request.taken.Load(), c.unacknowledged() > 0, c.failedToWrite():
		return errEarlyEnd
	}
	return io.EOF
}

// failedToWrite reports whether a write has failed, once a write in progress has ended. The kernel
// reports a reset once: to the write if that comes first, and the read sees the end of the
// connection.
func (c *conn) failedToWrite() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeFailed
}

// unacknowledged returns how many written bytes the other end has not acknowledged, or zero if that
// is not known. What ends a connection in order acknowledges all that was received before.
func (c *conn) unacknowledged() (count int) {
	socket := socketOf(c.Conn)
	if socket == nil {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if count, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err != nil {
			count = 0
		}
	})
	return count
}

// socketOf returns the socket below a connection, or nil.
func socketOf(c net.Conn) syscall.Conn {
	for {
		if socket, ok := c.(syscall.Conn); ok {
			return socket
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}
