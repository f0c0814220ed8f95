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

// Target is an http.Handler that has faults.
type Target struct {
	inner http.Handler
	// delay is how late a Late answer is.
	delay time.Duration

	mu sync.Mutex
	// script is the fault of each coming request.
	script []Fault
	seen   []http.Header
	// bodies and addresses of the requests so far, as they came.
	bodies bytes.Buffer
}

// New wraps a handler. Late answers come after delay.
func New(inner http.Handler, delay time.Duration) *Target {
	return &Target{inner: inner, delay: delay}
}

// Script sets the faults of the requests to come; those after have none.
func (t *Target) Script(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.script = faults
}

// Seen returns the headers of the requests so far.
func (t *Target) Seen() []http.Header {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]http.Header(nil), t.seen...)
}

// Bodies returns the request lines and bodies so far in one text.
func (t *Target) Bodies() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bodies.String()
}

// keep copies what a request bears while the handler reads it.
func (t *Target) keep(r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bodies.WriteString(r.RequestURI + r.Host + "\n")
	r.Body = io.NopCloser(io.TeeReader(r.Body, lockedWriter{t}))
}

// lockedWriter appends to the kept bodies.
type lockedWriter struct{ target *Target }

// Write keeps a part of a body.
func (l lockedWriter) Write(data []byte) (int, error) {
	l.target.mu.Lock()
	defer l.target.mu.Unlock()
	return l.target.bodies.Write(data)
}

// next takes the fault of a request off the script.
func (t *Target) next(r *http.Request) Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen = append(t.seen, r.Header.Clone())
	if len(t.script) == 0 || r.Method == http.MethodDelete {
		return None
	}
	fault := t.script[0]
	t.script = t.script[1:]
	return fault
}

// ServeHTTP serves one request with its fault.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.keep(r)
	switch fault := t.next(r); fault {
	case CloseBefore:
		panic(http.ErrAbortHandler)
	case CloseWhile:
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
	case NoLength, TooMuch:
		t.raw(w, r, fault)
	default:
		t.inner.ServeHTTP(&faultyWriter{ResponseWriter: w, fault: fault}, r)
	}
}

// waitForClose waits until the connection is gone, which the server notices
// only after the whole body was read.
func waitForClose(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// raw writes the answer on the bare connection, where net/http would not allow
// the fault.
func (t *Target) raw(w http.ResponseWriter, r *http.Request, fault Fault) {
	recorded := httptest.NewRecorder()
	t.inner.ServeHTTP(recorded, r)
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	answer := recorded.Result()
	answer.ProtoMajor, answer.ProtoMinor = 1, 1
	answer.ContentLength = int64(recorded.Body.Len())
	if fault == NoLength {
		answer.ContentLength = -1
		answer.Close = true
	}
	_ = answer.Write(connection)
	if fault == TooMuch {
		_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"))
	}
}
