package relay

import (
	"context"
	"io"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/retry"
)

// watchdog limits how long an exchange may receive no data before it may be left for
// another one. Silence does not show that a target has failed: a sound one may pause,
// or have the request in its queue.
type watchdog struct {
	// ctx ends with the exchange. Its cause is errSilence if the watchdog ended
	// it.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// connected is set once the exchange has a connection, so that a part of the request
	// may have been sent.
	connected atomic.Bool
	// silence is zero for exchanges that are never left.
	silence time.Duration
	// mayLeave reports whether the exchange may be left. If not, it is asked again
	// after another silence.
	mayLeave func() bool

	mu    sync.Mutex
	timer *time.Timer
	// stopped is set once the watchdog must not end the exchange any more.
	stopped bool
	// left is set once the watchdog has ended the exchange.
	left bool
}

// startWatchdog starts an exchange's watchdog. A stream that its target keeps is left
// after each silence, since it is resumed at the same target; each consecutive resume
// without an event doubles the timeout. Other streams that may be continued, and
// idempotent lookups, are left only before their answer has begun and if they can be
// sent elsewhere. All others may take until the deadline, and so may the attempts of a
// hedged request, which take each other's place.
func (a *attempt) startWatchdog(ctx context.Context) *watchdog {
	w := &watchdog{}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	req, silence := a.call.req, a.call.knobs.SilenceTimeout.D()
	switch {
	case a.keptByTarget():
		w.start(silence<<a.idleResumes, func() bool { return true })
	case a.claimAnswer != nil, a.answerBegun():
	case req.Resumable, req.Idempotent && req.Class == ident.ClassLookup:
		w.ctx = httptrace.WithClientTrace(w.ctx, &httptrace.ClientTrace{GotConn: w.gotConn})
		w.start(silence, func() bool { return a.maySendElsewhere(w.phase()) })
	}
	return w
}

// keptByTarget reports whether the target keeps the stream if its connection breaks.
func (a *attempt) keptByTarget() bool {
	return a.call.relay.protocol.Resumer() != nil && a.call.req.Stream && a.call.req.Model != ""
}

// gotConn records that the exchange has a connection.
func (w *watchdog) gotConn(httptrace.GotConnInfo) { w.connected.Store(true) }

// phase returns Unsent until the exchange has a connection, and Sent afterwards.
func (w *watchdog) phase() retry.Phase {
	if w.connected.Load() {
		return retry.Sent
	}
	return retry.Unsent
}

// maySendElsewhere reports whether the request can be sent to another target, and if
// so reserves the retry. It may be called while the exchange is in progress.
func (a *attempt) maySendElsewhere(phase retry.Phase) bool {
	may := a.call.hasAlternative(a.excluded, a.mayPrefill) && a.call.retries.Reserve(phase, time.Now())
	a.call.relay.metrics.silenceDecided(may)
	if !a.silenceLogged {
		a.silenceLogged = true
		a.call.relay.opts.Log.Info("target silent", "request", a.call.req.ID, "target", a.target,
			"after", time.Since(a.began), "sendElsewhere", may)
	}
	return may
}

// start sets the timeout and starts the timer.
func (w *watchdog) start(silence time.Duration, mayLeave func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silence, w.mayLeave = silence, mayLeave
	w.timer = time.AfterFunc(silence, w.expire)
}

// expire ends the exchange if it may be left, unless the answer begins meanwhile.
func (w *watchdog) expire() {
	may := w.decide()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if !may {
		w.timer.Reset(w.silence)
		return
	}
	w.left = true
	w.cancel(errSilence)
}

// decide asks whether the exchange may be left. It does not hold w.mu while it asks, so
// that an answer which begins meanwhile does not wait.
func (w *watchdog) decide() bool {
	w.mu.Lock()
	mayLeave, stopped := w.mayLeave, w.stopped
	w.mu.Unlock()
	return !stopped && mayLeave()
}

// reset restarts the timeout after data was received.
func (w *watchdog) reset() {
	if w.timer != nil {
		w.timer.Reset(w.silence)
	}
}

// limitTo ends the exchange after the given time, also one that had no timeout.
func (w *watchdog) limitTo(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mayLeave, w.stopped = func() bool { return true }, false
	if w.timer == nil {
		w.timer = time.AfterFunc(d, w.expire)
		return
	}
	w.timer.Reset(d)
}

// disarm stops the timer, so that silence no longer ends the exchange. It reports false
// if the exchange was left before, so that no answer may begin with it.
func (w *watchdog) disarm() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return !w.left
}

// stop ends the exchange.
func (w *watchdog) stop() {
	_ = w.disarm()
	w.cancel(nil)
}

// watchedBody restarts a watchdog's timeout whenever a response's body brings data.
type watchedBody struct {
	body     io.Reader
	watchdog *watchdog
}

// Read reads the body.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n > 0 {
		b.watchdog.reset()
	}
	return n, err
}
