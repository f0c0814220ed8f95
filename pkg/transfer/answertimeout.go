package transfer

import (
	"context"
	"net/http/httptrace"
	"time"

	"github.com/go-faster/errors"
)

// ErrNoAnswer ends a call to a server that does not begin to answer.
var ErrNoAnswer = errors.New("the server did not begin to answer in time")

// WithAnswerTimeout returns a context for one call, which ends with ErrNoAnswer if the
// server has not begun to answer after the given time. Once it has, the call may take as
// long as ctx allows.
func WithAnswerTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(d, func() { cancel(ErrNoAnswer) })
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { timer.Stop() }})
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}
