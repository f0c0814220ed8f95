package target

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// Trace follows one exchange on its connection.
type Trace struct {
	mu sync.Mutex
	// conn carries the exchange; it is nil until one was got.
	conn *conn
	// mark is the connection's count before the exchange.
	mark int64
	// foreign says that the connection is not one that counts, so that
	// nothing can be proved about it.
	foreign bool
}

// with returns a context that makes the transport report to the trace.
func (t *Trace) with(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { t.got(info.Conn) },
	})
}

// got notes the connection that carries the exchange.
func (t *Trace) got(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counted, ok := c.(*conn)
	if !ok {
		t.foreign = true
		return
	}
	t.conn, t.mark = counted, counted.count()
}

// Poison ends the use of the exchange's connection and reports whether a byte
// of the exchange may have left the process. The report stays true, since
// nothing can be written to the connection any more.
func (t *Trace) Poison() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.foreign {
		return true
	}
	if t.conn == nil {
		return false
	}
	return t.conn.seal() > t.mark
}
