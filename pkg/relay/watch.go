package relay

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// watch ends an exchange that brings nothing for too long.
type watch struct {
	// ctx ends with the exchange, with errSilence as its cause where the
	// watch has ended it.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// timer is nil for answers that may take as long as they like.
	timer   *time.Timer
	silence time.Duration
}

// watch begins to watch an exchange. Streams and lookups must bring something in
// time; other answers may take as long as the deadline allows. Each resume that
// brought nothing doubles the time that the next is given.
func (a *attempt) watch(ctx context.Context) *watch {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watch{ctx: ctx, cancel: cancel}
	req := a.call.req
	kept := a.call.relay.protocol.Keeper() != nil && req.Stream && req.Model != ""
	if kept || req.Resumable || (req.Idempotent && req.Class == ident.ClassLookup) {
		w.silence = a.call.knobs.SilenceTimeout.D() << a.quiet
		w.timer = time.AfterFunc(w.silence, func() { cancel(errSilence) })
	}
	return w
}

// alive notes that the exchange has brought something.
func (w *watch) alive() { w.limit(w.silence) }

// limit sets the time until the exchange must have brought something more.
func (w *watch) limit(d time.Duration) {
	if w.timer != nil {
		w.timer.Reset(d)
	}
}

// patient ends the watch over silence.
func (w *watch) patient() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// stop ends the exchange.
func (w *watch) stop() {
	w.patient()
	w.cancel(nil)
}
