package mirror

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
)

// Mirror follows the store and feeds its listeners.
type Mirror struct {
	opts      Options
	listeners []Listener
	// confirmedAt is when the store last answered, as the sending time of the
	// call in nanoseconds since start; zero before the first answer.
	confirmedAt atomic.Int64
	start       time.Time

	// The rest belongs to the goroutine of Run.
	cursor external.Cursor
	// wait bounds the next call. It is longer than that of the options only while
	// everything is read and that took too long before.
	wait time.Duration
	// failedAt is when the present outage was first met, or zero.
	failedAt time.Time
	retry    *backoff.ExponentialBackOff
}

// New returns a mirror that has read nothing.
func New(opts Options, listeners ...Listener) *Mirror {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstRetry
	retry.MaxInterval = longestRetry
	return &Mirror{opts: opts, listeners: listeners, start: time.Now(), wait: opts.Wait, retry: retry}
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := m.opts.Pause
		if err := m.step(ctx); err != nil {
			pause = m.failed(ctx, err)
		}
		clock.Sleep(ctx, pause)
	}
	return nil
}

// Age returns how old the copy may be, or false before the first answer.
func (m *Mirror) Age() (time.Duration, bool) {
	at := m.confirmedAt.Load()
	if at == 0 {
		return 0, false
	}
	return time.Since(m.start) - time.Duration(at), true
}

// step makes one call and hands on what it brought.
func (m *Mirror) step(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, m.wait)
	defer cancel()
	sentAt := time.Now()
	changes, err := m.opts.Store.Watch(call, m.opts.Prefix, m.cursor)
	if err != nil {
		return err
	}
	now := time.Now()
	m.recovered(now)
	m.cursor = changes.Next
	m.wait = m.opts.Wait
	m.retry.Reset()
	for _, listener := range m.listeners {
		m.feed(listener, changes, now)
	}
	m.confirmedAt.Store(max(1, int64(sentAt.Sub(m.start))))
	return nil
}

// feed hands a listener its part of the changes.
func (m *Mirror) feed(listener Listener, changes external.Changes, now time.Time) {
	var part []external.Entry
	for _, entry := range changes.Entries {
		if listener.Follows(entry.Key) {
			part = append(part, entry)
		}
	}
	listener.Apply(part, changes.Whole, now)
}

// failed notes a failed call and returns the pause before the next.
func (m *Mirror) failed(ctx context.Context, err error) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	if errors.Is(err, external.ErrHistoryGone) && m.cursor != external.StartCursor {
		m.opts.Log.Info("store history lost", "after", m.cursor)
		m.cursor = external.StartCursor
		return 0
	}
	if m.cursor == external.StartCursor && errors.Is(err, context.DeadlineExceeded) {
		m.wait = min(longestLoad, loadGrowth*m.wait)
	}
	if m.failedAt.IsZero() {
		m.failedAt = time.Now()
		m.opts.Log.Warn("store lost", "error", err)
		for _, listener := range m.listeners {
			listener.Outage(m.failedAt, time.Time{})
		}
	}
	return m.retry.NextBackOff()
}

// recovered notes the end of an outage.
func (m *Mirror) recovered(now time.Time) {
	if m.failedAt.IsZero() {
		return
	}
	m.opts.Log.Info("store regained", "outage", now.Sub(m.failedAt))
	for _, listener := range m.listeners {
		listener.Outage(m.failedAt, now)
	}
	m.failedAt = time.Time{}
}
