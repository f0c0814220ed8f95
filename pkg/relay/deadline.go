package relay

import (
	"context"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/request"
)

// deadline ends a request's context at its deadline. If the answer has begun by then and
// the configuration in force gives the request more time, the deadline is put off.
type deadline struct {
	cancel context.CancelCauseFunc
	// later is Request.LaterDeadline.
	later func() time.Time
	// detach separates the deadline from the end of the process.
	detach func() bool

	mu    sync.Mutex
	timer *time.Timer
	at    time.Time
	// begun is set once the answer has begun, passed once the context has ended.
	begun, passed bool
}

// startDeadline returns a context that ends at the request's deadline, or with the process's
// ending unless the answer has begun, and the deadline.
func startDeadline(ctx, ending context.Context, req *request.Request) (context.Context, *deadline) {
	ctx, cancel := context.WithCancelCause(ctx)
	d := &deadline{cancel: cancel, later: req.LaterDeadline, at: req.Deadline}
	d.mu.Lock()
	defer d.mu.Unlock()
	left := time.Until(d.at)
	d.timer = time.AfterFunc(left, d.expire)
	if left <= 0 {
		d.end(context.DeadlineExceeded)
	}
	d.detach = context.AfterFunc(ending, d.pass)
	return ctx, d
}

// pass makes the deadline pass now, unless the answer has begun: it may still end before the kill,
// and can't be replaced by a failure.
func (d *deadline) pass() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.passed && !d.begun {
		d.timer.Stop()
		d.at = time.Now()
		d.end(context.DeadlineExceeded)
	}
}

// expire puts the deadline off or ends the context.
func (d *deadline) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.passed || d.putOff() {
		return
	}
	// The deadline was put off after the timer had expired.
	if left := time.Until(d.at); left > 0 {
		d.timer.Reset(left)
		return
	}
	d.end(context.DeadlineExceeded)
}

// end ends the context with a cause. d.mu must be held.
func (d *deadline) end(cause error) {
	d.passed = true
	d.cancel(cause)
}

// putOff puts the deadline off if the answer has begun and the configuration in force
// allows it. It reports whether it did. d.mu must be held.
func (d *deadline) putOff() bool {
	if !d.begun || d.passed || d.later == nil {
		return false
	}
	at := d.later()
	if !at.After(d.at) {
		return false
	}
	d.at = at
	d.timer.Reset(time.Until(at))
	return true
}

// reconsider puts the deadline off if possible, and returns it. It is for a decision that
// the deadline could end: a target that obeys it stops at about the same time.
func (d *deadline) reconsider() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.putOff()
	return d.at
}

// beginAnswer records that the answer begins. It reports false if the deadline has passed,
// so that no answer may begin. The timer may be late, so the time is compared as well.
func (d *deadline) beginAnswer() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.begun = d.begun || (!d.passed && time.Now().Before(d.at))
	return d.begun
}

// time returns the deadline as it stands.
func (d *deadline) time() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at
}

// stop ends the context and frees the timer.
func (d *deadline) stop() {
	d.detach()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer.Stop()
	d.end(nil)
}
