package relay

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// watchdog ends an exchange that receives no data for too long.
type watchdog struct {
	// ctx ends with the exchange. Its cause is errSilence if the watchdog ended
	// it.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// timer is nil for responses without a silence timeout.
	timer   *time.Timer
	silence time.Duration
}

// startWatchdog starts an exchange's watchdog. Streams that can be resumed or
// continued and idempotent lookups are subject to the silence timeout; other
// responses may take until the deadline. Each consecutive resume without an
// event doubles the timeout.
func (a *attempt) startWatchdog(ctx context.Context) *watchdog {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{ctx: ctx, cancel: cancel}
	req := a.call.req
	kept := a.call.relay.protocol.Resumer() != nil && req.Stream && req.Model != ""
	if kept || req.Resumable || (req.Idempotent && req.Class == ident.ClassLookup) {
		w.silence = a.call.knobs.SilenceTimeout.D() << a.idleResumes
		w.timer = time.AfterFunc(w.silence, func() { cancel(errSilence) })
	}
	return w
}

// reset restarts the timeout after data was received.
func (w *watchdog) reset() { w.resetTo(w.silence) }

// resetTo restarts the timer with the given timeout.
func (w *watchdog) resetTo(d time.Duration) {
	if w.timer != nil {
		w.timer.Reset(d)
	}
}

// disarm stops the timer, so that silence no longer ends the exchange.
func (w *watchdog) disarm() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// stop ends the exchange.
func (w *watchdog) stop() {
	w.disarm()
	w.cancel(nil)
}
