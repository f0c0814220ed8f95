package faulttarget

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/target"
)

// Target is an http.Handler that injects faults into the handler it wraps.
type Target struct {
	inner http.Handler
	// delay is the delay of the fault Late.
	delay time.Duration

	mu sync.Mutex
	// script holds the faults of the coming requests, one each.
	script  []Fault
	headers []http.Header
	// received holds the URIs, hosts and bodies of the requests so far, in order
	// of arrival.
	received bytes.Buffer
}

// New wraps a handler. delay is the delay of the fault Late.
func New(inner http.Handler, delay time.Duration) *Target {
	return &Target{inner: inner, delay: delay}
}

// Script sets the faults of the coming requests, one each; later requests have
// none. DELETE requests neither have nor use up a fault.
func (t *Target) Script(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.script = faults
}

// RequestHeaders returns the headers of each request so far.
func (t *Target) RequestHeaders() []http.Header {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]http.Header(nil), t.headers...)
}

// Received returns the URIs, hosts and bodies of the requests so far as one string.
func (t *Target) Received() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.received.String()
}

// record records a request's URI and host, and its body while the handler reads
// it.
func (t *Target) record(r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received.WriteString(r.RequestURI + r.Host + "\n")
	r.Body = io.NopCloser(io.TeeReader(r.Body, lockedWriter{t}))
}

// lockedWriter appends to the received data under the lock of the target.
type lockedWriter struct{ target *Target }

// Write appends a part of a body.
func (l lockedWriter) Write(data []byte) (int, error) {
	l.target.mu.Lock()
	defer l.target.mu.Unlock()
	return l.target.received.Write(data)
}

// nextFault records a request's header and returns its fault, which it removes from
// the script.
func (t *Target) nextFault(r *http.Request) Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.headers = append(t.headers, r.Header.Clone())
	if len(t.script) == 0 || r.Method == http.MethodDelete {
		return None
	}
	fault := t.script[0]
	t.script = t.script[1:]
	return fault
}

// ServeHTTP serves one request with the next fault of the script.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.record(r)
	switch fault := t.nextFault(r); fault {
	case CloseBefore:
		panic(http.ErrAbortHandler)
	case CloseDuring:
		_, _ = r.Body.Read(make([]byte, 1))
		panic(http.ErrAbortHandler)
	case CloseAfter:
		t.inner.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	case Silent:
		waitForClose(r)
	case RunSilent:
		t.inner.ServeHTTP(httptest.NewRecorder(), r)
		waitForClose(r)
	case Late:
		time.Sleep(t.delay)
		t.inner.ServeHTTP(w, r)
	case Draining:
		w.Header().Set(target.HeaderAttempt, r.Header.Get(target.HeaderAttempt))
		w.WriteHeader(http.StatusServiceUnavailable)
	case NoLength, TrailingResponse:
		t.writeRaw(w, r, fault)
	default:
		t.inner.ServeHTTP(&faultyWriter{ResponseWriter: w, fault: fault}, r)
	}
}

// waitForClose waits until the client closes the connection, which net/http
// detects only after the body has been read to its end, and aborts the request.
func waitForClose(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// writeRaw writes the response directly to the connection, for faults that net/http
// can't produce.
func (t *Target) writeRaw(w http.ResponseWriter, r *http.Request, fault Fault) {
	recorded := httptest.NewRecorder()
	t.inner.ServeHTTP(recorded, r)
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	response := recorded.Result()
	response.ProtoMajor, response.ProtoMinor = 1, 1
	response.ContentLength = int64(recorded.Body.Len())
	if fault == NoLength {
		response.ContentLength = -1
		response.Close = true
	}
	_ = response.Write(connection)
	if fault == TrailingResponse {
		_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"))
	}
}
