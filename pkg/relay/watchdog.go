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
	// ask reports whether the exchange may be left. If not, it is called again after
	// another silence. settle, unless nil, is then called with whether it was left.
	ask func() (may bool, settle func(left bool))
	// over is closed when the answer begins or the exchange ends.
	over chan struct{}

	mu    sync.Mutex
	timer *time.Timer
	// limit ends the exchange after a time that was set by limitTo.
	limit *time.Timer
	// heard is set once data has arrived since the last decision began.
	heard atomic.Bool
	// deciding is closed at the end of the last decision; nil if there was none.
	deciding chan struct{}
	// answered is set once the answer has begun, ended once the exchange ended before
	// that, left once the watchdog has ended it.
	answered, ended, left bool
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
		w.start(silence<<a.idleResumes, func() (bool, func(bool)) { return true, nil })
	case a.claimAnswer != nil, a.answerBegun():
	case req.Resumable, req.Idempotent && req.Class == ident.ClassLookup:
		w.ctx = httptrace.WithClientTrace(w.ctx, &httptrace.ClientTrace{GotConn: w.gotConn})
		w.start(silence, a.sendElsewhere(ctx, w))
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

// start sets the timeout and starts the timer.
func (w *watchdog) start(silence time.Duration, ask func() (bool, func(bool))) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silence, w.ask, w.over = silence, ask, make(chan struct{})
	w.timer = time.AfterFunc(silence, w.expire)
}

// expire calls w.ask and ends the exchange if it may be left, unless its answer
// begins meanwhile. It does not hold w.mu during the call, so that an answer which begins
// does not wait.
func (w *watchdog) expire() {
	w.mu.Lock()
	if w.answered || w.ended {
		w.mu.Unlock()
		return
	}
	deciding := make(chan struct{})
	w.deciding = deciding
	w.heard.Store(false)
	w.mu.Unlock()
	defer close(deciding)
	may, settle := w.ask()
	left := w.conclude(may)
	if settle != nil {
		settle(left)
	}
}

// conclude ends the exchange if it may be left, and reports whether that holds. An
// exchange that ended meanwhile without an answer counts as left.
func (w *watchdog) conclude(may bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.answered:
		return false
	case w.ended:
		return may
	case may && w.heard.Load():
		w.timer.Reset(w.silence)
		return false
	case may:
		w.left = true
		w.cancel(errSilence)
	default:
		w.timer.Reset(w.silence)
	}
	return may
}

// reset restarts the timeout after data was received.
func (w *watchdog) reset() {
	w.heard.Store(true)
	if w.timer != nil {
		w.timer.Reset(w.silence)
	}
}

// limitTo ends the exchange after the given time.
func (w *watchdog) limitTo(d time.Duration) {
	w.limit = time.AfterFunc(d, func() { w.cancel(nil) })
}

// disarm stops the timer, so that silence no longer ends the exchange. It reports false
// if the exchange was left before, so that no answer may begin with it.
func (w *watchdog) disarm() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered = true
	w.stopTimer()
	return !w.left
}

// stopTimer stops the timer and closes over; w.mu must be held.
func (w *watchdog) stopTimer() {
	if w.timer == nil {
		return
	}
	w.timer.Stop()
	select {
	case <-w.over:
	default:
		close(w.over)
	}
}

// stop ends the exchange, and waits for the end of a decision.
func (w *watchdog) stop() {
	w.mu.Lock()
	w.ended = !w.answered
	w.stopTimer()
	deciding := w.deciding
	w.mu.Unlock()
	if deciding != nil {
		<-deciding
	}
	if w.limit != nil {
		w.limit.Stop()
	}
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
