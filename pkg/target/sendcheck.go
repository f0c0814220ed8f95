package target

import (
	"context"
	"net/http"
)

// sendCheckKey is the context key of the function that WithSendCheck sets.
type sendCheckKey struct{}

// WithSendCheck returns the request with a check that Client.Do makes once it has a
// connection, before any byte of the request is written. If the check fails, the
// connection is sealed, Do returns an error and Trace.Withheld returns the check's.
func WithSendCheck(r *http.Request, check func() error) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), sendCheckKey{}, check))
}

// checkSend makes the check of WithSendCheck, if there is one. t.mu must be held, and
// the connection must be known.
func (t *Trace) checkSend(ctx context.Context) {
	check, ok := ctx.Value(sendCheckKey{}).(func() error)
	if !ok {
		return
	}
	if t.withheld = check(); t.withheld != nil {
		t.conn.seal()
	}
}

// Withheld returns why the request was not sent, if its check failed, or nil.
func (t *Trace) Withheld() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.withheld
}
