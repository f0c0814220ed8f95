package overload

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// fieldBytes is what a field of a head takes besides its text, and valueBytes what a value does.
	fieldBytes = 120
	valueBytes = 40
	// headCopies is how many times a head is held while its request runs: as read, and as sent to a
	// target.
	headCopies = 2
)

// Hold is what one request holds of a Budget. A nil Hold holds nothing.
type Hold struct {
	budget *Budget
	// conn is the connection that the request came on, or nil if it is not one of a Port.
	conn  *Conn
	route ident.Route
	// controller interrupts the request's reads and writes. It is nil once the request has ended,
	// and guarded by controllerMu.
	controllerMu sync.Mutex
	controller   *http.ResponseController
	// writingSince is when a write to the caller began that has not ended, in Unix nanoseconds, or
	// zero.
	writingSince atomic.Int64
	// The following are guarded by budget.mu.
	requestBytes, bodyBytes int64
	// progressAt is when the request arrived or the last piece of its body began to be read.
	progressAt time.Time
	// whole is set once the body has been read, evicted once the request gave way to others.
	whole, evicted bool
}

// Begin counts a request with its head. It fails with ErrFull if there is no room. The controller
// is that of its response. Release must be called before the response is completed.
func (b *Budget) Begin(r *http.Request, route ident.Route, controller *http.ResponseController) (*Hold, error) {
	if b == nil {
		return nil, nil //nolint:nilnil // A nil Hold holds nothing.
	}
	conn, _ := r.Context().Value(connKey{}).(*Conn)
	if conn != nil {
		if s := conn.streams.Load(); s != nil {
			defer s.begin()
		}
	}
	h := &Hold{budget: b, conn: conn, route: route, controller: controller, progressAt: time.Now(), whole: r.Body == http.NoBody}
	bytes := int64(requestBytes) + headCopies*headBytes(r)
	b.mu.Lock()
	defer b.mu.Unlock()
	if conn != nil && conn.closed {
		return nil, ErrFull
	}
	if err := b.take(&b.requests, h, route, bytes); err != nil {
		return nil, err
	}
	h.requestBytes = bytes
	b.holds[h] = struct{}{}
	return h, nil
}

// headBytes returns what the head of a request takes in memory.
func headBytes(r *http.Request) (bytes int64) {
	for name, values := range r.Header {
		bytes += fieldBytes + int64(len(name))
		for _, value := range values {
			bytes += int64(len(value)) + valueBytes
		}
	}
	return bytes + int64(len(r.RequestURI))
}

// TakeParts counts what describes the parts of the request's prompt. It fails with ErrFull if there
// is no room for it, or if the request gave way to others.
func (h *Hold) TakeParts(bytes int64) error {
	if h == nil || bytes == 0 {
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if err := h.budget.take(&h.budget.requests, h, h.route, bytes); err != nil {
		return err
	}
	h.requestBytes += bytes
	return nil
}

// TakeBody counts bytes of the body that are about to be read. It fails with ErrFull if there is no
// room for them, or if the request gave way to others.
func (h *Hold) TakeBody(bytes int64) error {
	if h == nil {
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if err := h.budget.take(&h.budget.bodies, h, h.route, bytes); err != nil {
		return err
	}
	h.bodyBytes += bytes
	h.progressAt = time.Now()
	return nil
}

// BodyRead records that the body is whole: from now on the request doesn't give way to others. It
// fails with ErrFull if it already has.
func (h *Hold) BodyRead() error {
	if h == nil {
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.evicted {
		return ErrFull
	}
	h.whole = true
	return nil
}

// Evicted reports whether the request gave way to others.
func (h *Hold) Evicted() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.evicted
}

// Known records that the request's caller has a valid key.
func (h *Hold) Known() {
	if h != nil && h.conn != nil {
		h.conn.known.Store(true)
	}
}

// Writing records that a write to the caller begins.
func (h *Hold) Writing(now time.Time) {
	if h != nil {
		h.writingSince.Store(now.UnixNano())
	}
}

// Written records that the write has ended.
func (h *Hold) Written() {
	if h != nil {
		h.writingSince.Store(0)
	}
}

// Release no longer counts what the request holds.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	if !h.evicted {
		h.budget.release(h)
	}
	h.budget.mu.Unlock()
	h.controllerMu.Lock()
	defer h.controllerMu.Unlock()
	h.controller = nil
}

// weight returns for how many seconds a request has kept what it holds without a need to, or zero
// if it doesn't give way to others.
func (h *Hold) weight(now time.Time) float64 {
	since, allowed := h.progressAt, stalledAfter
	if h.whole {
		writing := h.writingSince.Load()
		if writing == 0 {
			return 0
		}
		since, allowed = time.Unix(0, writing), unreadAfter
	}
	if kept := now.Sub(since); kept > allowed {
		return kept.Seconds()
	}
	return 0
}

// bytesOf returns the bytes that the request holds of a class.
func (h *Hold) bytesOf(b *Budget, c *class) int64 {
	if c == &b.bodies {
		return h.bodyBytes
	}
	return h.requestBytes
}

// interrupt ends the request's write to the caller if its body is whole, or else the read of its body.
func (h *Hold) interrupt(whole bool) {
	h.controllerMu.Lock()
	defer h.controllerMu.Unlock()
	if h.controller == nil {
		return
	}
	past := time.Unix(1, 0)
	// Writers without deadline support, such as those of tests, have no slow callers.
	if !whole {
		_ = h.controller.SetReadDeadline(past)
		return
	}
	_ = h.controller.SetWriteDeadline(past)
}

// connKey is the key of a request's Conn in its context.
type connKey struct{}

// ConnContext adds a connection of a Port to the context of its requests. It is the ConnContext of
// a server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c := portConn(conn); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// portConn returns the connection of a Port that a server's connection is, also under TLS, or nil.
func portConn(conn net.Conn) *Conn {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	c, _ := conn.(*Conn)
	return c
}
