package target

import (
	"context"
	"net"
	"sync"
)

// Trace tracks the bytes that one exchange wrote to its connection.
type Trace struct {
	mu sync.Mutex
	// conn is the exchange's connection. It is nil until the transport has one.
	conn *countingConn
	// bytesBefore is the number of bytes written to conn before the exchange.
	bytesBefore int64
	// untracked is set if the connection is not a countingConn, so that the bytes
	// of the exchange are not known.
	untracked bool
	// withheld is why the request's check forbade to send it, or nil.
	withheld error
}

// gotConn records the connection of the exchange, and checks whether the request may
// still be sent.
func (t *Trace) gotConn(ctx context.Context, c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counted, ok := c.(*countingConn)
	if !ok {
		t.untracked = true
		return
	}
	t.conn, t.bytesBefore = counted, counted.bytesWritten()
	t.checkSend(ctx)
}

// Stale reports whether the exchange had a connection that had carried others before. Its target may
// have ended it, or have sent bytes that belong to no request.
func (t *Trace) Stale() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bytesBefore > 0
}

// Abort closes the exchange's connection and reports whether any byte of the
// exchange may have left the process. The result is final, since nothing can be
// written to the connection any more.
func (t *Trace) Abort() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.untracked {
		return true
	}
	if t.conn == nil {
		return false
	}
	return t.conn.seal() > t.bytesBefore
}
